#pragma once

#include <config/configuration_listener.h>
#include <config/configuration_service.h>
