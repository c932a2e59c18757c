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

/// HTTP server that can crash: every connection and the listener close at once
/// and it listens again later. Tokens differ between its lives.
template <class Handler>
class restartable_server
{
public:
    restartable_server(endpoint listen, Handler& handler)
        : listen_(listen), handler_(handler), server_(make())
    {
        listen_ = endpoint(listen.address(), server_->port());
    }

    endpoint address() const
    {
        return listen_;
    }

    /// Serves until stop(), through all crashes.
    void run()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_)
        {
            if (!server_ && !restart())
            {
                wake_.wait_for(lock, std::chrono::milliseconds(100));
                continue;
            }
            lock.unlock();
            server_->run();
            lock.lock();
            auto ended = std::move(server_);
            lock.unlock();
            // Reports abandoned requests to the handler, so not under the lock.
            ended.reset();
            lock.lock();
            if (!stopping_)
                wake_.wait_for(
                    lock,
                    absl::ToChronoNanoseconds(down_),
                    [&] { return stopping_; });
        }
    }

    void stop()
    {
        std::scoped_lock const lock(mutex_);
        stopping_ = true;
        if (server_)
            server_->stop();
        wake_.notify_all();
    }

    /// Closes all connections and the listener for that time.
    void crash(absl::Duration down)
    {
        std::scoped_lock const lock(mutex_);
        down_ = down;
        ++life_;
        if (server_)
            server_->stop();
    }

    /// True for tokens of the present life.
    bool current(request_token token) const
    {
        std::scoped_lock const lock(mutex_);
        return token.value() >> life_shift == life_;
    }

    void answer(request_token token, http_response response)
    {
        std::scoped_lock const lock(mutex_);
        if (server_)
            server_->answer(token, std::move(response));
    }

private:
    static constexpr unsigned life_shift = 40;

    using server = http_server<Handler>;

    std::unique_ptr<server> make()
    {
        return std::make_unique<server>(
            http_server_settings{
                .listen_ = listen_, .token_base_ = life_ << life_shift},
            handler_);
    }

    bool restart()
    {
        try
        {
            server_ = make();
            return true;
        }
        catch (std::system_error const&)
        {
            // The port is still taken; run() tries again.
            return false;
        }
    }

    endpoint listen_;
    Handler& handler_;
    std::mutex mutable mutex_;
    std::condition_variable wake_;
    bool stopping_{};
    absl::Duration down_{};
    std::uint64_t life_{};
    std::unique_ptr<server> server_;
};

} // namespace samphire::standin
