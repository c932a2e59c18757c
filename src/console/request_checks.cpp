#include "console/request_checks.hpp"

#include "base/endpoint.hpp"
#include "base/text.hpp"

namespace samphire
{

bool has_trusted_host(http_request const& request)
{
    std::string const host = find_header(request.headers_, "Host").value_or("");
    return endpoint::parse(host) || host == "localhost" ||
           host.starts_with("localhost:");
}

std::string session_cookie(http_request const& request)
{
    constexpr std::string_view name = "samphire-session=";
    std::string const cookies =
        find_header(request.headers_, "Cookie").value_or("");
    for (std::string_view const cookie_text : split(cookies, ';'))
    {
        std::string_view const cookie = trim(cookie_text);
        if (cookie.starts_with(name))
            return std::string(cookie.substr(name.size()));
    }
    return {};
}

} // namespace samphire
