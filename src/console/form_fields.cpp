#include "console/form_fields.hpp"

#include "base/text.hpp"

#include <curl/curl.h>

#include <algorithm>

namespace samphire
{

namespace
{

std::string decode_url_text(std::string_view encoded)
{
    std::string text(encoded);
    std::replace(text.begin(), text.end(), '+', ' ');
    int length = 0;
    char* const decoded = curl_easy_unescape(
        nullptr, text.c_str(), static_cast<int>(text.size()), &length);
    if (!decoded)
        return {};
    std::string result(decoded, static_cast<std::size_t>(length));
    curl_free(decoded);
    // Removes CR, since browsers send line ends in text areas as CR LF.
    std::erase(result, '\r');
    return result;
}

} // namespace

form_fields::form_fields(std::string_view body)
{
    for (std::string_view const pair : split(body, '&'))
    {
        std::size_t const equals = std::min(pair.find('='), pair.size());
        std::string_view const value =
            pair.substr(std::min(equals + 1, pair.size()));
        fields_[decode_url_text(pair.substr(0, equals))].push_back(
            decode_url_text(value));
    }
}

bool form_fields::contains(std::string const& name) const
{
    return fields_.contains(name);
}

std::string form_fields::value(std::string const& name) const
{
    auto const found = fields_.find(name);
    return found == fields_.end() ? std::string() : found->second.front();
}

std::vector<std::string> form_fields::values(std::string const& name) const
{
    auto const found = fields_.find(name);
    return found == fields_.end() ? std::vector<std::string>() : found->second;
}

} // namespace samphire
