#include "upstream/upstream_setting_definitions.hpp"

#include "base/text.hpp"

#include <array>

namespace samphire::standin
{

namespace
{

constexpr std::array definitions{
    setting_definition{
        .name_ = "service",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "service that this upstream belongs to"},
    setting_definition{
        .name_ = "http-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "HTTP address for the daemon's requests"},
    setting_definition{
        .name_ = "daemon-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "HTTP address of the daemon on this VM"},
    setting_definition{
        .name_ = "slots",
        .kind_ = setting_kind::integer,
        .default_ = "100",
        .minimum_ = 1,
        .maximum_ = 100000,
        .help_ = "maximum number of requests that run at the same time"},
    setting_definition{
        .name_ = "service-ms",
        .kind_ = setting_kind::duration,
        .default_ = "5",
        .minimum_ = 0,
        .maximum_ = 3600000,
        .help_ = "service time of a request, without its calls"},
    setting_definition{
        .name_ = "calls",
        .kind_ = setting_kind::text,
        .help_ = "calls of each request: service/route,service/route"},
    setting_definition{
        .name_ = "exponential",
        .kind_ = setting_kind::toggle,
        .default_ = "false",
        .help_ = "service times follow an exponential distribution"},
    setting_definition{
        .name_ = "long-routes",
        .kind_ = setting_kind::text,
        .help_ = "routes with long work: route,route"},
    setting_definition{
        .name_ = "long-factor",
        .kind_ = setting_kind::integer,
        .default_ = "100",
        .minimum_ = 1,
        .maximum_ = 100000,
        .help_ = "factor on the service time of long work"},
    setting_definition{
        .name_ = "cold-ms",
        .kind_ = setting_kind::duration,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 3600000,
        .help_ = "time after the start for which the upstream is cold"},
    setting_definition{
        .name_ = "cold-factor",
        .kind_ = setting_kind::integer,
        .default_ = "5",
        .minimum_ = 1,
        .maximum_ = 1000,
        .help_ = "factor on service times while the upstream is cold"},
    setting_definition{
        .name_ = "report-lag-ms",
        .kind_ = setting_kind::duration,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 60000,
        .help_ = "age of the load reported in announcements"},
    setting_definition{
        .name_ = "shed-limit",
        .kind_ = setting_kind::integer,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 100000,
        .help_ =
            "maximum number of requests in progress or waiting; further ones "
            "are shed; 0 for no limit"},
    setting_definition{
        .name_ = "crash-marker",
        .kind_ = setting_kind::text,
        .help_ = "text in a request's body that crashes the upstream"},
    setting_definition{
        .name_ = "crash-ms",
        .kind_ = setting_kind::duration,
        .default_ = "2000",
        .minimum_ = 1,
        .maximum_ = 3600000,
        .help_ = "time that the upstream is down after a crash"},
    setting_definition{
        .name_ = "seed",
        .kind_ = setting_kind::integer,
        .default_ = "1",
        .minimum_ = 0,
        .maximum_ = 1000000000,
        .help_ = "seed of the service times"}};

std::vector<std::string> parse_list(std::string const& text)
{
    std::vector<std::string> result;
    for (std::string_view const part : split(text, ','))
    {
        if (!part.empty())
            result.emplace_back(part);
    }
    return result;
}

} // namespace

std::span<setting_definition const> upstream_setting_definitions()
{
    return definitions;
}

upstream_settings upstream_settings_from(setting_values const& values)
{
    return {
        .service_ = values.text("service"),
        .listen_ = values.address("http-address"),
        .daemon_ = values.address("daemon-address"),
        .slots_ = static_cast<std::size_t>(values.integer("slots")),
        .service_time_ = values.duration("service-ms"),
        .distribution_ = values.toggle("exponential")
                             ? service_time_distribution::exponential
                             : service_time_distribution::fixed,
        .long_routes_ = parse_list(values.text("long-routes")),
        .long_factor_ = static_cast<double>(values.integer("long-factor")),
        .cold_time_ = values.duration("cold-ms"),
        .cold_factor_ = static_cast<double>(values.integer("cold-factor")),
        .load_report_lag_ = values.duration("report-lag-ms"),
        .shed_limit_ = static_cast<std::size_t>(values.integer("shed-limit")),
        .crash_marker_ = values.text("crash-marker"),
        .crash_downtime_ = values.duration("crash-ms"),
        .calls_ = parse_list(values.text("calls")),
        .seed_ = static_cast<std::uint64_t>(values.integer("seed"))};
}

} // namespace samphire::standin
