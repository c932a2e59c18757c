#include "ctl/ctl_settings.hpp"

#include <array>

namespace samphire
{

namespace
{

constexpr std::array definitions{
    setting_definition{
        .name_ = "platform-address",
        .kind_ = setting_kind::address,
        .help_ = "address of the platform's object API, for apply"},
    setting_definition{
        .name_ = "daemons",
        .kind_ = setting_kind::address_list,
        .help_ = "HTTP addresses of the daemons to query, for status"},
    setting_definition{
        .name_ = "daemon-timeout-ms",
        .kind_ = setting_kind::duration,
        .default_ = "2000",
        .minimum_ = 10,
        .maximum_ = 60000,
        .help_ = "time to wait for each daemon"}};

} // namespace

std::span<setting_definition const> ctl_setting_definitions()
{
    return definitions;
}

} // namespace samphire
