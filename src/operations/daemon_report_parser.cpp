#include "operations/daemon_report_parser.hpp"

#include <nlohmann/json.hpp>

namespace samphire
{

daemon_report parse_daemon_report(endpoint address, std::string_view body)
{
    using json = nlohmann::json;
    json const page = json::parse(body, nullptr, false);
    if (!page.is_object() || !page.contains("self") ||
        !page.contains("revision"))
        return {.address_ = address};
    json const& self = page["self"];
    bool const complete =
        self.is_object() && self.contains("daemon") &&
        self["daemon"].is_string() && self.contains("domain") &&
        self["domain"].is_string() && page["revision"].is_number_unsigned();
    if (!complete)
        return {.address_ = address};
    return {
        .address_ = address,
        .reached_ = true,
        .daemon_ = daemon_id(self["daemon"].get<std::string>()),
        .domain_ = domain_name(self["domain"].get<std::string>()),
        .revision_ = revision(page["revision"].get<std::uint64_t>())};
}

} // namespace samphire
