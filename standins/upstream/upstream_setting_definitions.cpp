#include "upstream/upstream_settings.hpp"

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
        .help_ = "requests that run at the same time"},
    setting_definition{
        .name_ = "service-ms",
        .kind_ = setting_kind::duration,
        .default_ = "5",
        .minimum_ = 0,
        .maximum_ = 3600000,
        .help_ = "time that a request takes, besides its calls"},
    setting_definition{
        .name_ = "calls",
        .kind_ = setting_kind::text,
        .help_ = "calls of each request: service/route,service/route"}};

} // namespace

std::span<setting_definition const> upstream_setting_definitions()
{
    return definitions;
}

} // namespace samphire::standin
