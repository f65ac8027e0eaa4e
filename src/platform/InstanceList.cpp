#include "platform/InstanceList.h"
