#include "http/Server.h"
