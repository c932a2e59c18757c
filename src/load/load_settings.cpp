#include "load/load_settings.hpp"

#include "load/route_mix_parser.hpp"

#include <array>

namespace samphire
{

namespace
{

constexpr std::array definitions{
    setting_definition{
        .name_ = "entries",
        .kind_ = setting_kind::address_list,
        .required_ = true,
        .help_ = "HTTP addresses of the daemons to call"},
    setting_definition{
        .name_ = "routes",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "service/route[:weight[:normal|important[:short|long]]],..."},
    setting_definition{
        .name_ = "shape",
        .kind_ = setting_kind::text,
        .default_ = "constant",
        .help_ = "arrivals over time: constant, step, crest or burst"},
    setting_definition{
        .name_ = "rate",
        .kind_ = setting_kind::integer,
        .default_ = "100",
        .minimum_ = 1,
        .maximum_ = 1'000'000,
        .help_ = "arrivals per second"},
    setting_definition{
        .name_ = "peak-rate",
        .kind_ = setting_kind::integer,
        .default_ = "1000",
        .minimum_ = 1,
        .maximum_ = 1'000'000,
        .help_ =
            "arrivals per second after the step, at the top of the crest or in "
            "the burst"},
    setting_definition{
        .name_ = "peak-start-ms",
        .kind_ = setting_kind::duration,
        .default_ = "3000",
        .minimum_ = 0,
        .maximum_ = 3'600'000,
        .help_ = "start of the step or burst"},
    setting_definition{
        .name_ = "peak-end-ms",
        .kind_ = setting_kind::duration,
        .default_ = "6000",
        .minimum_ = 0,
        .maximum_ = 3'600'000,
        .help_ = "end of the burst"},
    setting_definition{
        .name_ = "length-ms",
        .kind_ = setting_kind::duration,
        .default_ = "10000",
        .minimum_ = 1,
        .maximum_ = 3'600'000,
        .help_ = "time over which calls arrive"},
    setting_definition{
        .name_ = "warm-up-ms",
        .kind_ = setting_kind::duration,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 3'600'000,
        .help_ =
            "time from the start of the run in which calls are not counted"},
    setting_definition{
        .name_ = "timeout-ms",
        .kind_ = setting_kind::duration,
        .default_ = "2000",
        .minimum_ = 1,
        .maximum_ = 3'600'000,
        .help_ = "time after which a caller gives up an attempt"},
    setting_definition{
        .name_ = "body-size",
        .kind_ = setting_kind::integer,
        .default_ = "64",
        .minimum_ = 16,
        .maximum_ = 1 << 20,
        .help_ = "bytes of each request's body"},
    setting_definition{
        .name_ = "resends",
        .kind_ = setting_kind::integer,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 100,
        .help_ = "further attempts of a caller that has no whole answer"},
    setting_definition{
        .name_ = "resend-delay-ms",
        .kind_ = setting_kind::duration,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 3'600'000,
        .help_ = "pause before each further attempt"},
    setting_definition{
        .name_ = "keys",
        .kind_ = setting_kind::toggle,
        .default_ = "false",
        .help_ = "send an Idempotency-Key with every call"},
    setting_definition{
        .name_ = "direct",
        .kind_ = setting_kind::toggle,
        .default_ = "false",
        .help_ =
            "the entries are upstreams, which are called without a daemon"},
    setting_definition{
        .name_ = "trigger-end-ms",
        .kind_ = setting_kind::duration,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 3'600'000,
        .help_ = "end of a fault, from which the recovery time is measured; 0 "
                 "for none"},
    setting_definition{
        .name_ = "seed",
        .kind_ = setting_kind::integer,
        .default_ = "1",
        .minimum_ = 0,
        .maximum_ = 1'000'000'000,
        .help_ = "seed of the arrivals"},
    setting_definition{
        .name_ = "json",
        .kind_ = setting_kind::text,
        .help_ = "file for the JSON result; empty for standard output"}};

any_arrival_shape shape_from(
    setting_values const& values, std::string const& name, bool& is_known_shape)
{
    auto const rate = static_cast<double>(values.integer("rate"));
    auto const peak = static_cast<double>(values.integer("peak-rate"));
    absl::Duration const start = values.duration("peak-start-ms");
    is_known_shape = true;
    if (name == "constant")
        return constant_shape{rate};
    if (name == "step")
        return burst_shape{rate, peak, start, absl::InfiniteDuration()};
    if (name == "burst")
        return burst_shape{rate, peak, start, values.duration("peak-end-ms")};
    if (name == "crest")
        return peak_shape{rate, peak, values.duration("length-ms")};
    is_known_shape = false;
    return constant_shape{rate};
}

} // namespace

std::span<setting_definition const> load_setting_definitions()
{
    return definitions;
}

load_plan_result load_plan_from(setting_values const& values)
{
    bool is_known_shape = false;
    any_arrival_shape const shape =
        shape_from(values, values.text("shape"), is_known_shape);
    if (!is_known_shape)
        return std::string("shape: must be constant, step, crest or burst");
    route_mix_result const mix = parse_route_mix(values.text("routes"));
    if (!mix)
        return mix.error();
    absl::Duration const fault_end = values.duration("trigger-end-ms");
    return load_plan{
        .endpoints_ = values.address_list("entries"),
        .mix_ = mix.value(),
        .shape_ = shape,
        .seed_ = static_cast<std::uint64_t>(values.integer("seed")),
        .arrival_duration_ = values.duration("length-ms"),
        .warm_up_duration_ = values.duration("warm-up-ms"),
        .timeout_ = values.duration("timeout-ms"),
        .request_body_bytes_ =
            static_cast<std::size_t>(values.integer("body-size")),
        .max_resends_ = static_cast<std::uint32_t>(values.integer("resends")),
        .resend_delay_ = values.duration("resend-delay-ms"),
        .sends_idempotency_keys_ = values.toggle("keys"),
        .calls_upstreams_directly_ = values.toggle("direct"),
        .fault_end_offset_ = fault_end > absl::ZeroDuration()
                                 ? std::optional(fault_end)
                                 : std::nullopt};
}

} // namespace samphire
