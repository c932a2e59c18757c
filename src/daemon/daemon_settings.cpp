#include "daemon/daemon_settings.hpp"

#include <array>

namespace samphire
{

namespace
{

constexpr std::array definitions{
    setting_definition{
        .name_ = "daemon-id",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "name of this daemon, unique over all failure domains"},
    setting_definition{
        .name_ = "domain",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "failure domain of this VM"},
    setting_definition{
        .name_ = "peer-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "TCP and UDP address for other daemons"},
    setting_definition{
        .name_ = "http-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "HTTP address for callers, the own upstream and operators"},
    setting_definition{
        .name_ = "platform-address",
        .kind_ = setting_kind::address,
        .help_ = "address of the platform's object API; empty for none"},
    setting_definition{
        .name_ = "seeds",
        .kind_ = setting_kind::address_list,
        .help_ = "peer addresses of daemons to join"},
    setting_definition{
        .name_ = "peer-secret",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "secret that authenticates messages between daemons"},
    setting_definition{
        .name_ = "call-capacity",
        .kind_ = setting_kind::integer,
        .default_ = "4096",
        .minimum_ = 1,
        .maximum_ = 65536,
        .help_ = "calls in progress at this daemon"},
    setting_definition{
        .name_ = "queue-capacity",
        .kind_ = setting_kind::integer,
        .default_ = "256",
        .minimum_ = 1,
        .maximum_ = 65536,
        .help_ = "requests that wait for a slot of the own upstream"},
    setting_definition{
        .name_ = "record-capacity",
        .kind_ = setting_kind::integer,
        .default_ = "65536",
        .minimum_ = 1024,
        .maximum_ = 1048576,
        .help_ = "execution records kept"},
    setting_definition{
        .name_ = "epoch-ms",
        .kind_ = setting_kind::duration,
        .default_ = "60000",
        .minimum_ = 1000,
        .maximum_ = 3600000,
        .help_ = "length of an epoch of execution records"},
    setting_definition{
        .name_ = "span-capacity",
        .kind_ = setting_kind::integer,
        .default_ = "4096",
        .minimum_ = 0,
        .maximum_ = 1048576,
        .help_ = "trace spans kept for GET /spans"},
    setting_definition{
        .name_ = "log-level",
        .kind_ = setting_kind::integer,
        .default_ = "1",
        .minimum_ = 0,
        .maximum_ = 3,
        .help_ = "lowest level logged: 0 debug, 1 info, 2 warning, 3 error"}};

} // namespace

std::span<setting_definition const> daemon_setting_definitions()
{
    return definitions;
}

} // namespace samphire
