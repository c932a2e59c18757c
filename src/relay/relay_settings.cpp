#include "relay/relay_settings.hpp"

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
        .help_ = "name of this VM in logs"},
    setting_definition{
        .name_ = "domain",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "failure domain of this VM"},
    setting_definition{
        .name_ = "service",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "service that runs on this VM; told to upstreams as caller"},
    setting_definition{
        .name_ = "peer-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "TCP address for other daemons"},
    setting_definition{
        .name_ = "client-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "HTTP address for clients and for calls of the upstream"},
    setting_definition{
        .name_ = "ready-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "HTTP address for readiness and metrics"},
    setting_definition{
        .name_ = "control-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "HTTP address for heartbeats of the upstream"},
    setting_definition{
        .name_ = "metrics-address",
        .kind_ = setting_kind::address,
        .help_ = "HTTP address for metrics; empty for none"},
    setting_definition{
        .name_ = "upstream-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "address of the upstream on this VM"},
    setting_definition{
        .name_ = "store-address",
        .kind_ = setting_kind::address,
        .required_ = true,
        .help_ = "address of the platform's store"},
    setting_definition{
        .name_ = "seeds",
        .kind_ = setting_kind::address_list,
        .help_ = "VMs to join when the store cannot be reached; the port is "
                 "replaced by that of peer-address"},
    setting_definition{
        .name_ = "peer-secret",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "secret that authenticates connections between daemons"},
    setting_definition{
        .name_ = "memory-mb",
        .kind_ = setting_kind::decimal,
        .default_ = "256",
        .minimum_ = 32,
        .maximum_ = 1048576,
        .help_ = "memory of this process in MB; bodies of requests may take a "
                 "quarter of it, answers being received from the upstream "
                 "another, and those from the store an eighth"},
    setting_definition{
        .name_ = "descriptors",
        .kind_ = setting_kind::decimal,
        .default_ = "4096",
        .minimum_ = 256,
        .maximum_ = 1048576,
        .help_ = "file descriptors of this process"},
    setting_definition{
        .name_ = "repeat-ratio",
        .kind_ = setting_kind::decimal,
        .default_ = "0.1",
        .minimum_ = 0,
        .maximum_ = 1,
        .help_ = "retries that all daemons may send to a service for each of "
                 "its requests"},
    setting_definition{
        .name_ = "repeat-slack",
        .kind_ = setting_kind::decimal,
        .default_ = "10",
        .minimum_ = 0,
        .maximum_ = 1000000,
        .help_ = "retries beyond repeat-ratio in any span of repeat-window-s, "
                 "shared by all daemons"},
    setting_definition{
        .name_ = "repeat-window-s",
        .kind_ = setting_kind::decimal,
        .default_ = "10",
        .minimum_ = 1,
        .maximum_ = 600,
        .help_ = "span of time in seconds for repeat-ratio and repeat-slack"},
    setting_definition{
        .name_ = "stop-grace-s",
        .kind_ = setting_kind::decimal,
        .default_ = "6",
        .minimum_ = 1,
        .maximum_ = 600,
        .help_ = "seconds between the stop signal and the end of the process"},
    setting_definition{
        .name_ = "log-lines",
        .kind_ = setting_kind::integer,
        .default_ = "20",
        .minimum_ = 1,
        .maximum_ = 100000,
        .help_ = "log lines a second for each event; successes get an eighth"}};

} // namespace

std::span<setting_definition const> relay_setting_definitions()
{
    return definitions;
}

} // namespace samphire
