#include "store/object_name.hpp"

#include <fmt/format.h>

namespace samphire
{

std::string object_name_of(endpoint daemon)
{
    return fmt::format("{}-{}", daemon.address(), daemon.port());
}

} // namespace samphire
