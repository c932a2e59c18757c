#pragma once

#include "base/endpoint.hpp"
#include "forwarding/health_report.hpp"
#include "relay/answer_parser.hpp"
#include "relay/byte_stream.hpp"
#include "relay/health_handler.hpp"
#include "relay/io_loop.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace samphire
{

/// Asks the local upstream whether it is healthy, one check at a time and each
/// on a connection of its own: an upstream that cannot queue a request may
/// never answer on that connection again.
template <class Codec, class Handler>
class health_probe
{
public:
    health_probe(endpoint upstream, io_loop& loop, Handler& handler)
        : upstream_(upstream), loop_(loop), handler_(handler)
    {
        // The concept is checked here because Handler is still incomplete where
        // it declares the probe as a member.
        static_assert(health_handler<Handler>);
    }

    bool is_in_progress() const
    {
        return stream_.has_value();
    }

    /// Starts a check, which must not be in progress.
    void start(std::string_view path, absl::Time now);
    /// Ends a check that has taken too long.
    void tick(absl::Time now);

private:
    void on_ready(std::uint32_t events);
    void read_answer();
    void finish(health_report const& report);

    endpoint const upstream_;
    io_loop& loop_;
    Handler& handler_;
    std::optional<byte_stream> stream_;
    std::optional<answer_parser> parser_;
    absl::Time deadline_{absl::InfiniteFuture()};
};

} // namespace samphire

#include "relay/health_probe.ipp"
