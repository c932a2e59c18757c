#pragma once

#include "http/http_server.hpp"

#include <absl/time/time.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <system_error>
#include <utility>

namespace samphire::standin
{

/// HTTP server that simulates crashes: it closes the listener and all
/// connections at once and listens again later. Tokens differ between the
/// incarnations of the server.
template <class Handler>
class restartable_server
{
public:
    restartable_server(endpoint listen, Handler& handler)
        : listen_(listen), handler_(handler), server_(make_server())
    {
        listen_ = endpoint(listen.address(), server_->port());
    }

    endpoint address() const
    {
        return listen_;
    }

    /// Serves requests until stop() and listens again after each crash.
    void run()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_)
        {
            if (!server_ && !try_restart())
            {
                stop_requested_.wait_for(lock, std::chrono::milliseconds(100));
                continue;
            }
            lock.unlock();
            server_->run();
            lock.lock();
            auto old_server = std::move(server_);
            lock.unlock();
            // The destructor reports abandoned requests to the handler, so it
            // must not run under the lock.
            old_server.reset();
            lock.lock();
            if (!stopping_)
                stop_requested_.wait_for(
                    lock,
                    absl::ToChronoNanoseconds(downtime_),
                    [&] { return stopping_; });
        }
    }

    void stop()
    {
        std::scoped_lock const lock(mutex_);
        stopping_ = true;
        if (server_)
            server_->stop();
        stop_requested_.notify_all();
    }

    /// Closes all connections and the listener; run() listens again after
    /// `downtime`.
    void crash(absl::Duration downtime)
    {
        std::scoped_lock const lock(mutex_);
        downtime_ = downtime;
        ++incarnation_;
        if (server_)
            server_->stop();
    }

    /// Returns whether the token belongs to the current incarnation of the
    /// server.
    bool is_current(request_token token) const
    {
        std::scoped_lock const lock(mutex_);
        return token.value() >> incarnation_shift == incarnation_;
    }

    void answer(request_token token, http_response response)
    {
        std::scoped_lock const lock(mutex_);
        if (server_)
            server_->answer(token, std::move(response));
    }

private:
    static constexpr unsigned incarnation_shift = 40;

    using server = http_server<Handler>;

    std::unique_ptr<server> make_server()
    {
        return std::make_unique<server>(
            http_server_settings{
                .listen_address_ = listen_,
                .token_base_ = incarnation_ << incarnation_shift},
            handler_);
    }

    bool try_restart()
    {
        try
        {
            server_ = make_server();
            return true;
        }
        catch (std::system_error const&)
        {
            // The port is still in use; run() tries again.
            return false;
        }
    }

    endpoint listen_;
    Handler& handler_;
    std::mutex mutable mutex_;
    std::condition_variable stop_requested_;
    bool stopping_{};
    absl::Duration downtime_{};
    std::uint64_t incarnation_{};
    std::unique_ptr<server> server_;
};

} // namespace samphire::standin
