#pragma once

#include "base/duty_thread.hpp"
#include "base/monotonic_clock.hpp"
#include "relay/log_writer.hpp"
#include "relay/relay_events.hpp"
#include "relay/store_gateway.hpp"
#include "relay/traffic_duty.hpp"
#include "settings/setting_values.hpp"
#include "store/store_times.hpp"

#include <algorithm>
#include <cstdint>

namespace samphire
{

/// Owns the duties of one relay and the rings between them.
template <class Platform>
class relay_process
{
public:
    /// Binds all ports; throws std::system_error when one is in use.
    relay_process(
        setting_values const& settings,
        std::uint64_t incarnation,
        std::uint64_t seed)
        : log_(log_ring_capacity), events_(event_ring_capacity),
          store_(
              settings.address("store-address"),
              store_times{}.answer_timeout_,
              memory_bytes(settings) / 8,
              events_),
          traffic_(
              read_identity(settings, incarnation),
              read_limits(settings),
              settings.address_list("seeds"),
              relay_codec(peer_key(settings.text("peer-secret"))),
              seed,
              clock_,
              store_,
              events_,
              log_)
    {
    }

    /// Runs until the graceful stop that stop() starts is complete.
    void run()
    {
        duty_thread const log("log", [&] { log_.run(); });
        {
            duty_thread const store("store", [&] { store_.run(); });
            duty_thread const traffic(
                "traffic",
                [&]
                {
                    traffic_.run();
                    events_.close();
                    store_.stop();
                });
        }
        log_.stop();
    }

    // Any thread may call the functions below.

    void stop()
    {
        events_.push(stop_requested{});
    }

    void reload(setting_values const& settings)
    {
        events_.push(settings_changed{service_name(settings.text("service"))});
    }

    void write_log_line(std::string line)
    {
        log_.write(std::move(line));
    }

private:
    static constexpr std::size_t log_ring_capacity = 4096;
    static constexpr std::size_t event_ring_capacity = 1024;

    static traffic_identity
    read_identity(setting_values const& settings, std::uint64_t incarnation)
    {
        return {
            .daemon_id_ = settings.text("daemon-id"),
            .zone_ = settings.text("domain"),
            .service_ = service_name(settings.text("service")),
            .incarnation_ = incarnation,
            .peer_address_ = settings.address("peer-address"),
            .client_address_ = settings.address("client-address"),
            .ready_address_ = settings.address("ready-address"),
            .control_address_ = settings.address("control-address"),
            .metrics_address_ = settings.address("metrics-address"),
            .upstream_address_ = settings.address("upstream-address")};
    }

    static std::size_t memory_bytes(setting_values const& settings)
    {
        return static_cast<std::size_t>(settings.decimal("memory-mb")) << 20;
    }

    static traffic_limits read_limits(setting_values const& settings)
    {
        std::size_t const bytes = memory_bytes(settings);
        auto const max_descriptors =
            static_cast<std::size_t>(settings.decimal("descriptors"));
        // The remaining memory and descriptors are for answers, peer links,
        // upstream connections and the process itself.
        return {
            .max_total_body_bytes_ = bytes / 4,
            .max_total_answer_bytes_ = bytes / 4,
            .max_client_connections_ = max_descriptors / 2,
            .retry_ratio_ = settings.decimal("repeat-ratio"),
            .retry_burst_ = settings.decimal("repeat-slack"),
            .retry_window_ = absl::Seconds(settings.decimal("repeat-window-s")),
            .stop_grace_ = absl::Seconds(settings.decimal("stop-grace-s")),
            .max_log_lines_per_second_ =
                static_cast<std::uint32_t>(settings.integer("log-lines"))};
    }

    monotonic_clock clock_;
    log_writer log_;
    relay_events events_;
    store_gateway<typename Platform::object_store> store_;
    traffic_duty<Platform> traffic_;
};

} // namespace samphire
