#pragma once

#include "base/endpoint.hpp"

#include <string>

namespace samphire
{

/// Returns the name of the object in which this daemon describes its upstream.
std::string object_name_of(endpoint daemon);

} // namespace samphire
