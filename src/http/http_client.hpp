#pragma once

#include "base/bounded_ring.hpp"
#include "http/client_command.hpp"
#include "http/client_handler.hpp"
#include "http/http_transfer.hpp"

#include <absl/container/flat_hash_map.h>
#include <curl/curl.h>

#include <atomic>
#include <memory>
#include <utility>
#include <vector>

namespace samphire
{

/// HTTP client on libcurl. run() is the loop of one duty thread; connections
/// are kept and used again, since a new one costs about 1 ms.
template <class Handler>
class http_client
{
public:
    /// `capacity` bounds the requests in progress and in the ring.
    http_client(std::size_t capacity, Handler& handler)
        : capacity_(capacity), handler_(handler), commands_(2 * capacity),
          multi_(curl_multi_init())
    {
        // Handler is complete here, but not yet where it holds the client.
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
            idle_.push_back(transfer->handle());
        }
        for (CURL* const handle : idle_)
            curl_easy_cleanup(handle);
        curl_multi_cleanup(multi_);
    }

    /// Sends a request; exactly one call of the handler follows. False, and
    /// no call, when the ring is full.
    bool send(request_token token, outgoing_request request)
    {
        return submit({token, std::move(request)});
    }

    /// Ends the request with http_client_error::cancelled, unless it has
    /// already ended.
    bool cancel(request_token token)
    {
        return submit({token, std::nullopt});
    }

    void run()
    {
        while (!stopping_.load(std::memory_order_relaxed))
        {
            int running = 0;
            take_commands();
            curl_multi_perform(multi_, &running);
            finish_transfers();
            curl_multi_poll(multi_, nullptr, 0, poll_milliseconds, nullptr);
        }
    }

    void stop()
    {
        stopping_.store(true, std::memory_order_relaxed);
        curl_multi_wakeup(multi_);
    }

private:
    static constexpr int poll_milliseconds = 1000;

    bool submit(client_command command)
    {
        bool const taken = commands_.try_push(std::move(command));
        if (!woken_.exchange(true))
            curl_multi_wakeup(multi_);
        return taken;
    }

    void take_commands()
    {
        // Before the ring is read: a command that comes later wakes again.
        woken_.exchange(false);
        while (auto const command = commands_.try_pop())
        {
            if (command->request_)
                start(command->token_, *command->request_);
            else
                stop_transfer(command->token_);
        }
    }

    void start(request_token token, outgoing_request const& request)
    {
        if (transfers_.size() >= capacity_)
        {
            handler_.on_failure(token, http_client_error::full);
            return;
        }
        auto transfer =
            std::make_unique<http_transfer>(token, request, take_handle());
        curl_multi_add_handle(multi_, transfer->handle());
        transfers_.emplace(token, std::move(transfer));
    }

    CURL* take_handle()
    {
        if (idle_.empty())
            return http_transfer::make_handle();
        CURL* const handle = idle_.back();
        idle_.pop_back();
        return handle;
    }

    void stop_transfer(request_token token)
    {
        if (!transfers_.contains(token))
            return;
        release(token);
        handler_.on_failure(token, http_client_error::cancelled);
    }

    void finish_transfers()
    {
        int left = 0;
        while (CURLMsg const* const message =
                   curl_multi_info_read(multi_, &left))
        {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURLcode const code = message->data.result;
            char* state = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &state);
            auto& transfer = *reinterpret_cast<http_transfer*>(state);
            finish(transfer, code);
        }
    }

    void finish(http_transfer& transfer, CURLcode code)
    {
        request_token const token = transfer.token();
        if (code == CURLE_OK)
        {
            http_response const response = transfer.response();
            release(token);
            handler_.on_response(token, response);
            return;
        }
        http_client_error const error = transfer.error(code);
        release(token);
        handler_.on_failure(token, error);
    }

    void release(request_token token)
    {
        auto const node = transfers_.extract(token);
        curl_multi_remove_handle(multi_, node.mapped()->handle());
        idle_.push_back(node.mapped()->handle());
    }

    std::size_t const capacity_;
    Handler& handler_;
    bounded_ring<client_command> commands_;
    CURLM* multi_;
    std::atomic<bool> stopping_{};
    std::atomic<bool> woken_{};
    absl::flat_hash_map<request_token, std::unique_ptr<http_transfer>>
        transfers_;
    std::vector<CURL*> idle_;
};

} // namespace samphire
