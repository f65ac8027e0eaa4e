#include "Figures.h"

namespace crocuslead::bench {

void routeFigures() {}

} // namespace crocuslead::bench
