#include "schedule/Planner.h"
