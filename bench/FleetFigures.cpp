#include "Figures.h"

namespace crocuslead::bench {

void fleetFigures() {}

} // namespace crocuslead::bench
