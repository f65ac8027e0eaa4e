#include "platform/WorkerGateway.h"
