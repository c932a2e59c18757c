#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace samphire
{

/// Up to `limit` + 1 bytes of the file, so that a longer file is seen as too
/// long; nothing when the file cannot be read.
std::optional<std::string>
read_file(std::string const& path, std::size_t limit);

} // namespace samphire
