#include "document/json_document.hpp"

#include "document/nesting_depth.hpp"

#include <fmt/format.h>

namespace samphire
{

nlohmann::json parse_document(std::string_view text, document_limits limits)
{
    if (text.size() > limits.max_bytes_)
        throw document_error(fmt::format(
            "document: must have at most {} bytes", limits.max_bytes_));
    if (nesting_depth(text) > limits.max_depth_)
        throw document_error(fmt::format(
            "document: must be nested at most {} deep", limits.max_depth_));
    try
    {
        return nlohmann::json::parse(text);
    }
    catch (nlohmann::json::exception const& failure)
    {
        throw document_error(
            fmt::format("document: must be JSON ({})", failure.what()));
    }
}

nlohmann::json try_parse_document(std::string_view text, document_limits limits)
{
    try
    {
        return parse_document(text, limits);
    }
    catch (document_error const&)
    {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

} // namespace samphire
