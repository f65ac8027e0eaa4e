#include "partition/Partition.h"
