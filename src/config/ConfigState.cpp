#include "config/ConfigState.h"
