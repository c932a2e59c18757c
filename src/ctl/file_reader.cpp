#include "ctl/file_reader.hpp"

#include <fstream>

namespace samphire
{

std::optional<std::string> read_file(std::string const& path, std::size_t limit)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(limit + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    // A folder opens, but cannot be read.
    if (!file.eof() && !file.good())
        return std::nullopt;
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

} // namespace samphire
