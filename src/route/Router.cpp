#include "route/Router.h"
