#include "member/Membership.h"
