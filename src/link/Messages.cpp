#include "link/Messages.h"
