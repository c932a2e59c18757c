#include "object_api/platform_gateway.hpp"

#include "base/text.hpp"

#include <fmt/format.h>

namespace samphire
{

namespace
{

constexpr absl::Duration call_timeout = absl::Seconds(2);
// The platform ends a watch without a change after 10 s.
constexpr absl::Duration watch_timeout = absl::Seconds(15);

object_version object_version_of(http_response const& response)
{
    auto const header = find_header(response.headers_, "Object-Version");
    return object_version(
        header ? parse_number<std::uint64_t>(*header).value_or(0) : 0);
}

platform_status platform_status_from_http(std::uint16_t code)
{
    switch (code)
    {
    case 200:
        return platform_status::ok;
    case 304:
        return platform_status::unchanged;
    case 404:
        return platform_status::absent;
    case 409:
        return platform_status::conflict;
    case 400:
    case 413:
    case 429:
    case 503:
        return platform_status::refused;
    default:
        return platform_status::no_answer;
    }
}

} // namespace

outgoing_request
write_platform_request(endpoint platform, platform_request const& request)
{
    std::string const path = "/objects/" + request.name_.value();
    switch (request.method_)
    {
    case platform_method::get:
        return {
            .destination_ = platform, .path_ = path, .timeout_ = call_timeout};
    case platform_method::put_if:
        return {
            .method_ = "PUT",
            .destination_ = platform,
            .path_ = path,
            .headers_ =
                {{"If-Match", std::to_string(request.version_.value())}},
            .body_ = request.value_,
            .timeout_ = call_timeout};
    case platform_method::watch:
        return {
            .destination_ = platform,
            .path_ = fmt::format("{}?watch={}", path, request.version_.value()),
            .timeout_ = watch_timeout};
    }
    return {};
}

platform_result read_platform_response(http_response const& response)
{
    return {
        .status_ = platform_status_from_http(response.status_),
        .version_ = object_version_of(response),
        .value_ = response.body_};
}

platform_result platform_result_from_error(http_client_error error)
{
    bool const nothing_sent =
        error == http_client_error::refused || error == http_client_error::full;
    return {
        .status_ = nothing_sent ? platform_status::refused
                                : platform_status::no_answer};
}

} // namespace samphire
