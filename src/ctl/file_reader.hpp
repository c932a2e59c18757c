#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace samphire
{

/// Reads up to `max_bytes` + 1 bytes of the file, so that the caller can tell
/// that a file is too long; nothing when the file cannot be read.
std::optional<std::string>
read_file(std::string const& path, std::size_t max_bytes);

} // namespace samphire
