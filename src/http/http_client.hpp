#pragma once

#include "base/bounded_ring.hpp"
#include "base/wake_event.hpp"
#include "http/client_command.hpp"
#include "http/client_handler.hpp"
#include "http/http_transfer.hpp"
#include "http/response_memory.hpp"

#include <absl/container/flat_hash_map.h>
#include <curl/curl.h>

#include <atomic>
#include <memory>
#include <utility>
#include <vector>

namespace samphire
{

/// HTTP client based on libcurl. run() is the loop of one duty thread.
/// Connections are kept open and reused, because opening a connection takes
/// about 1 ms.
template <class Handler>
class http_client
{
public:
    static constexpr std::size_t default_max_response_bytes = 64u << 20;

    /// `capacity` is the maximum number of requests in progress. The ring of
    /// commands holds twice as many commands. `max_response_bytes` is the
    /// maximum size of all responses that are being received; their buffers
    /// take up to twice as much.
    http_client(
        std::size_t capacity,
        Handler& handler,
        std::size_t max_response_bytes = default_max_response_bytes)
        : capacity_(capacity), handler_(handler), commands_(2 * capacity),
          multi_(curl_multi_init()), response_memory_(max_response_bytes)
    {
        // The concept is checked here because Handler is an incomplete type
        // where its class declares the client as a member.
        static_assert(client_handler<Handler>);
        curl_multi_setopt(
            multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(capacity));
    }

    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    ~http_client()
    {
        for (auto const& [token, transfer] : transfers_)
        {
            curl_multi_remove_handle(multi_, transfer->handle());
            idle_handles_.push_back(transfer->handle());
        }
        for (CURL* const handle : idle_handles_)
            curl_easy_cleanup(handle);
        curl_multi_cleanup(multi_);
    }

    /// Sends a request; the handler is called exactly once for the request,
    /// unless stop() comes first. When the command ring is full, returns false
    /// and never calls the handler.
    bool send(request_token token, outgoing_request request)
    {
        return submit_command({token, std::move(request)});
    }

    /// Ends the request with this token as http_client_error::cancelled, unless
    /// the request has already ended. Returns false when the command ring is
    /// full.
    bool cancel(request_token token)
    {
        return submit_command({token, std::nullopt});
    }

    void run()
    {
        while (!stopping_.load(std::memory_order_relaxed))
        {
            int running = 0;
            process_commands();
            curl_multi_perform(multi_, &running);
            finish_transfers();
            wait_for_events();
        }
    }

    void stop()
    {
        stopping_.store(true, std::memory_order_relaxed);
        wake_.notify();
    }

private:
    static constexpr int poll_timeout_ms = 1000;

    bool submit_command(client_command command)
    {
        bool const queued = commands_.try_push(std::move(command));
        wake_.notify();
        return queued;
    }

    /// Waits for sockets or a wakeup. An eventfd is used because a wakeup costs
    /// one read instead of the two of curl_multi_wakeup, and because writing to
    /// an eventfd costs less than writing to a socket pair.
    void wait_for_events()
    {
        curl_waitfd wake{wake_.descriptor(), CURL_WAIT_POLLIN, 0};
        curl_multi_poll(multi_, &wake, 1, poll_timeout_ms, nullptr);
        if (wake.revents != 0)
            wake_.clear();
    }

    void process_commands()
    {
        while (auto const command = commands_.try_pop())
        {
            if (command->request_)
                start_transfer(command->token_, *command->request_);
            else
                cancel_transfer(command->token_);
        }
    }

    void start_transfer(request_token token, outgoing_request const& request)
    {
        if (transfers_.size() >= capacity_)
        {
            handler_.on_failure(token, http_client_error::full);
            return;
        }
        auto transfer = std::make_unique<http_transfer>(
            token, request, acquire_handle(), response_memory_);
        curl_multi_add_handle(multi_, transfer->handle());
        transfers_.emplace(token, std::move(transfer));
    }

    CURL* acquire_handle()
    {
        if (idle_handles_.empty())
            return http_transfer::make_handle();
        CURL* const handle = idle_handles_.back();
        idle_handles_.pop_back();
        return handle;
    }

    void cancel_transfer(request_token token)
    {
        if (!transfers_.contains(token))
            return;
        release_transfer(token);
        handler_.on_failure(token, http_client_error::cancelled);
    }

    void finish_transfers()
    {
        int messages_left = 0;
        while (CURLMsg const* const message =
                   curl_multi_info_read(multi_, &messages_left))
        {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURLcode const code = message->data.result;
            char* private_data = nullptr;
            curl_easy_getinfo(
                message->easy_handle, CURLINFO_PRIVATE, &private_data);
            auto& transfer = *reinterpret_cast<http_transfer*>(private_data);
            finish_transfer(transfer, code);
        }
    }

    void finish_transfer(http_transfer& transfer, CURLcode code)
    {
        request_token const token = transfer.token();
        if (code == CURLE_OK && transfer.is_head_complete() &&
            transfer.is_body_complete() && !transfer.is_given_up())
        {
            http_response const response = transfer.response();
            release_transfer(token);
            handler_.on_response(token, response);
            return;
        }
        http_client_error const error = code == CURLE_OK
                                            ? http_client_error::truncated
                                            : transfer.error(code);
        release_transfer(token);
        handler_.on_failure(token, error);
    }

    void release_transfer(request_token token)
    {
        auto const node = transfers_.extract(token);
        curl_multi_remove_handle(multi_, node.mapped()->handle());
        idle_handles_.push_back(node.mapped()->handle());
    }

    std::size_t const capacity_;
    Handler& handler_;
    bounded_ring<client_command> commands_;
    CURLM* multi_;
    std::atomic<bool> stopping_{};
    wake_event wake_;
    response_memory response_memory_;
    absl::flat_hash_map<request_token, std::unique_ptr<http_transfer>>
        transfers_;
    std::vector<CURL*> idle_handles_;
};

} // namespace samphire
