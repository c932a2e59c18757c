#pragma once

#include "base/endpoint.hpp"
#include "http/http_client.hpp"
#include "relay/relay_events.hpp"
#include "store/store_operation.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <mutex>
#include <utility>

namespace samphire
{

/// Duty "store": calls of the platform's store over HTTP.
template <class Codec>
class store_gateway
{
public:
    store_gateway(
        endpoint store, absl::Duration answer_time, relay_events& events)
        : store_(store), answer_time_(answer_time), events_(events),
          client_(capacity, *this)
    {
    }

    void run()
    {
        client_.run();
    }

    void stop()
    {
        client_.stop();
    }

    void submit(std::uint64_t number, store_operation const& operation)
    {
        {
            std::scoped_lock const lock(mutex_);
            pending_.emplace(number, operation);
        }
        if (!client_.send(
                request_token(number),
                Codec::encode(operation, store_, answer_time_)))
            on_failure(request_token(number), http_client_error::full);
    }

    void on_response(request_token token, http_response const& response)
    {
        events_.push(
            store_replied{token.value(), Codec::decode(take(token), response)});
    }

    void on_failure(request_token token, http_client_error error)
    {
        take(token);
        bool const unsent = error == http_client_error::refused ||
                            error == http_client_error::full;
        events_.push(store_replied{
            token.value(),
            {.status_ =
                 unsent ? store_status::refused : store_status::unknown}});
    }

private:
    static constexpr std::size_t capacity = 16;

    store_operation take(request_token token)
    {
        std::scoped_lock const lock(mutex_);
        auto node = pending_.extract(token.value());
        return node.empty() ? store_operation{} : node.mapped();
    }

    endpoint const store_;
    absl::Duration const answer_time_;
    relay_events& events_;
    std::mutex mutex_;
    absl::flat_hash_map<std::uint64_t, store_operation> pending_;
    http_client<store_gateway> client_;
};

} // namespace samphire
