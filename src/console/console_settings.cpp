#include "console/console_settings.hpp"

#include <array>

namespace samphire
{

namespace
{

constexpr std::array definitions{
    setting_definition{
        .name_ = "http-address",
        .kind_ = setting_kind::address,
        // The console does not authenticate operators, so by default it is
        // reachable from this machine only.
        .default_ = "127.0.0.1:7400",
        .required_ = true,
        .help_ = "address that browsers of operators connect to"},
    setting_definition{
        .name_ = "platform-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "address of the platform's object API"},
    setting_definition{
        .name_ = "daemons",
        .kind_ = setting_kind::address_list,
        .help_ = "HTTP addresses of the daemons whose revision is shown"},
    setting_definition{
        .name_ = "daemon-timeout-ms",
        .kind_ = setting_kind::duration,
        .default_ = "2000",
        .minimum_ = 10,
        .maximum_ = 60000,
        .help_ = "time to wait for each daemon"}};

} // namespace

std::span<setting_definition const> console_setting_definitions()
{
    return definitions;
}

} // namespace samphire
