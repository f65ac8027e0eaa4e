#include "Figures.h"

namespace crocuslead::bench {

void partitionFigures() {}

} // namespace crocuslead::bench
