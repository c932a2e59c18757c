#pragma once

#include "base/endpoint.hpp"
#include "http/http_client.hpp"
#include "relay/relay_events.hpp"
#include "store/store_operation.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <exception>
#include <mutex>
#include <utility>

namespace samphire
{

/// Duty "store": sends calls to the platform's store over HTTP and returns
/// their outcomes to the traffic duty.
template <class Codec>
class store_gateway
{
public:
    /// `max_answer_bytes`: maximum size of all answers that are being
    /// received.
    store_gateway(
        endpoint store,
        absl::Duration answer_timeout,
        std::size_t max_answer_bytes,
        relay_events& events)
        : store_(store), answer_timeout_(answer_timeout), events_(events),
          client_(max_pending_calls, *this, max_answer_bytes)
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

    void
    submit(std::uint64_t store_call_number, store_operation const& operation)
    {
        {
            std::scoped_lock const lock(mutex_);
            pending_operations_.emplace(store_call_number, operation);
        }
        if (!client_.send(
                request_token(store_call_number),
                Codec::encode(operation, store_, answer_timeout_)))
            on_failure(
                request_token(store_call_number), http_client_error::full);
    }

    void on_response(request_token token, http_response const& response)
    {
        events_.push(store_call_completed{
            token.value(), decode(take_pending_operation(token), response)});
    }

    void on_failure(request_token token, http_client_error error)
    {
        take_pending_operation(token);
        bool const unsent = error == http_client_error::refused ||
                            error == http_client_error::full;
        events_.push(store_call_completed{
            token.value(),
            {.status_ =
                 unsent ? store_status::refused : store_status::unknown}});
    }

private:
    static constexpr std::size_t max_pending_calls = 16;

    /// An error while an answer is decoded, such as a lack of memory, makes
    /// the outcome of this call unknown and must not end the duty.
    static store_outcome
    decode(store_operation const& operation, http_response const& response)
    {
        try
        {
            return Codec::decode(operation, response);
        }
        catch (std::exception const& error)
        {
            return {.object_defects_ = {{.text_ = error.what()}}};
        }
    }

    store_operation take_pending_operation(request_token token)
    {
        std::scoped_lock const lock(mutex_);
        auto node = pending_operations_.extract(token.value());
        return node.empty() ? store_operation{} : node.mapped();
    }

    endpoint const store_;
    absl::Duration const answer_timeout_;
    relay_events& events_;
    std::mutex mutex_;
    absl::flat_hash_map<std::uint64_t, store_operation> pending_operations_;
    http_client<store_gateway> client_;
};

} // namespace samphire
