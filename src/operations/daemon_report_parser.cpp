#include "operations/daemon_report_parser.hpp"

#include "document/json_document.hpp"

#include <nlohmann/json.hpp>

namespace samphire
{

daemon_report parse_daemon_report(endpoint address, std::string_view body)
{
    using json = nlohmann::json;
    json const status = try_parse_document(body);
    if (!status.is_object() || !status.contains("self") ||
        !status.contains("revision"))
        return {.address_ = address};
    json const& self = status["self"];
    bool const is_complete =
        self.is_object() && self.contains("daemon") &&
        self["daemon"].is_string() && self.contains("domain") &&
        self["domain"].is_string() && status["revision"].is_number_unsigned();
    if (!is_complete)
        return {.address_ = address};
    return {
        .address_ = address,
        .reached_ = true,
        .daemon_ = daemon_id(self["daemon"].get<std::string>()),
        .domain_ = domain_name(self["domain"].get<std::string>()),
        .revision_ = revision(status["revision"].get<std::uint64_t>())};
}

} // namespace samphire
