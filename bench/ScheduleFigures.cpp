#include "Figures.h"

namespace crocuslead::bench {

void scheduleFigures() {}

} // namespace crocuslead::bench
