#pragma once

#include "base/bounded_ring.hpp"
#include "base/epoll_set.hpp"
#include "base/wake_event.hpp"
#include "http/http_server_settings.hpp"
#include "http/pending_response.hpp"
#include "http/request_handler.hpp"

#include <absl/container/flat_hash_map.h>
#include <microhttpd.h>

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace samphire
{

/// HTTP/1.1 server on libmicrohttpd. run() is the loop of one duty thread;
/// answers may come from any thread and at any later time.
template <class Handler>
class http_server
{
public:
    /// Starts to listen; throws std::system_error when the port is taken.
    http_server(http_server_settings settings, Handler& handler)
        : settings_(std::move(settings)), handler_(handler),
          answers_(settings_.connections_), last_token_(settings_.token_base_)
    {
        // Handler is complete here, but not yet where it holds the server.
        static_assert(request_handler<Handler>);
        start_daemon();
        epoll_.add(daemon_descriptor(), EPOLLIN);
        epoll_.add(wake_.descriptor(), EPOLLIN);
    }

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    ~http_server()
    {
        resume_all();
        MHD_stop_daemon(daemon_);
    }

    /// Serves until stop() is called.
    void run()
    {
        while (!stopping_.load(std::memory_order_relaxed))
            serve_once(next_timeout());
    }

    void stop()
    {
        stopping_.store(true, std::memory_order_relaxed);
        wake_.notify();
    }

    /// Answers a request. Answers to unknown tokens are ignored. There is at
    /// most one answer for each connection, so the ring cannot be full.
    void answer(request_token token, http_response response)
    {
        answers_.try_push({token, std::move(response)});
        wake_.notify();
    }

    /// Closes the connection of a request without an answer.
    void drop(request_token token)
    {
        answers_.try_push({token, std::nullopt});
        wake_.notify();
    }

    /// The port in use, also when the settings left the choice to the system.
    std::uint16_t port() const
    {
        auto const* const info =
            MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
        return info->port;
    }

private:
    struct exchange
    {
        http_server* server_{};
        MHD_Connection* connection_{};
        request_token token_{};
        std::string body_;
        bool too_large_{};
        bool delivered_{};
        bool suspended_{};
        bool watched_{};
        int socket_{-1};
        std::unique_ptr<http_response const> response_;
    };

    void start_daemon()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(settings_.listen_.address());
        address.sin_port = htons(settings_.listen_.port());
        daemon_ = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
            settings_.listen_.port(),
            nullptr,
            nullptr,
            &http_server::on_access,
            this,
            MHD_OPTION_SOCK_ADDR,
            &address,
            MHD_OPTION_LISTENING_ADDRESS_REUSE,
            1u,
            MHD_OPTION_CONNECTION_LIMIT,
            static_cast<unsigned>(settings_.connections_),
            MHD_OPTION_NOTIFY_COMPLETED,
            &http_server::on_completed,
            this,
            MHD_OPTION_EXTERNAL_LOGGER,
            &http_server::ignore_message,
            nullptr,
            MHD_OPTION_END);
        if (!daemon_)
            throw std::system_error(
                errno, std::generic_category(), "http listen");
    }

    int daemon_descriptor() const
    {
        return MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    }

    absl::Duration next_timeout() const
    {
        MHD_UNSIGNED_LONG_LONG milliseconds = 0;
        if (MHD_get_timeout(daemon_, &milliseconds) == MHD_YES)
            return absl::Milliseconds(milliseconds);
        return absl::Seconds(1);
    }

    void serve_once(absl::Duration timeout)
    {
        for (epoll_event const& ready : epoll_.wait(timeout))
        {
            int const descriptor = ready.data.fd;
            if (descriptor == wake_.descriptor())
                wake_.clear();
            else if (descriptor != daemon_descriptor())
                abandon(descriptor);
        }
        deliver_answers();
        MHD_run(daemon_);
    }

    void deliver_answers()
    {
        while (auto pending = answers_.try_pop())
        {
            auto const found = by_token_.find(pending->token_);
            if (found == by_token_.end())
                continue;
            exchange& waiting = *found->second;
            if (pending->response_)
            {
                waiting.response_ =
                    std::make_unique<http_response const>(*pending->response_);
            }
            else
            {
                by_token_.erase(found);
                waiting.token_ = {};
            }
            resume(waiting);
        }
    }

    /// libmicrohttpd does not poll a suspended connection, so the server
    /// watches for its end itself.
    void suspend(exchange& waiting)
    {
        waiting.suspended_ = true;
        MHD_suspend_connection(waiting.connection_);
        waiting.socket_ =
            MHD_get_connection_info(
                waiting.connection_, MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd;
        epoll_.add(waiting.socket_, EPOLLRDHUP);
        by_socket_[waiting.socket_] = &waiting;
        waiting.watched_ = true;
    }

    void resume(exchange& waiting)
    {
        unwatch(waiting);
        if (!waiting.suspended_)
            return;
        waiting.suspended_ = false;
        MHD_resume_connection(waiting.connection_);
    }

    void unwatch(exchange& waiting)
    {
        if (!waiting.watched_)
            return;
        waiting.watched_ = false;
        epoll_.remove(waiting.socket_);
        by_socket_.erase(waiting.socket_);
    }

    void abandon(int socket)
    {
        auto const found = by_socket_.find(socket);
        if (found == by_socket_.end())
            return;
        exchange& waiting = *found->second;
        by_token_.erase(waiting.token_);
        handler_.on_abandoned(waiting.token_);
        waiting.token_ = {};
        resume(waiting);
    }

    void resume_all()
    {
        while (!by_socket_.empty())
            resume(*by_socket_.begin()->second);
    }

    static MHD_Result on_access(
        void* context,
        MHD_Connection* connection,
        char const* url,
        char const* method,
        char const*,
        char const* data,
        std::size_t* size,
        void** state)
    {
        auto& server = *static_cast<http_server*>(context);
        if (!*state)
        {
            auto* const created = new exchange;
            created->server_ = &server;
            created->connection_ = connection;
            *state = created;
            return MHD_YES;
        }
        auto& current = *static_cast<exchange*>(*state);
        if (*size > 0)
        {
            server.append(current, {data, *size});
            *size = 0;
            return MHD_YES;
        }
        return server.advance(current, url, method);
    }

    void append(exchange& current, std::string_view data)
    {
        current.too_large_ =
            current.too_large_ ||
            current.body_.size() + data.size() > settings_.body_limit_;
        if (!current.too_large_)
            current.body_.append(data);
    }

    MHD_Result advance(exchange& current, char const* url, char const* method)
    {
        if (current.too_large_)
            return queue(
                current,
                {.status_ = 413, .body_ = payload("body exceeds the limit\n")});
        if (current.response_)
            return queue(current, *current.response_);
        if (current.delivered_)
            // Abandoned by its client or dropped: closes the connection.
            return MHD_NO;
        deliver(current, url, method);
        return MHD_YES;
    }

    void deliver(exchange& current, char const* url, char const* method)
    {
        current.delivered_ = true;
        last_token_ = last_token_.next();
        current.token_ = last_token_;
        by_token_.emplace(current.token_, &current);
        http_request const request{
            .method_ = method,
            .path_ = url,
            .arguments_ = values(current.connection_, MHD_GET_ARGUMENT_KIND),
            .headers_ = values(current.connection_, MHD_HEADER_KIND),
            .body_ = payload(std::move(current.body_))};
        // Before the system calls of suspend(); an answer waits in the ring.
        handler_.on_request(current.token_, request);
        suspend(current);
    }

    static header_list values(MHD_Connection* connection, MHD_ValueKind kind)
    {
        header_list result;
        MHD_get_connection_values(
            connection,
            kind,
            [](void* list, MHD_ValueKind, char const* key, char const* value)
            {
                static_cast<header_list*>(list)->push_back(
                    {key, value ? value : ""});
                return MHD_YES;
            },
            &result);
        return result;
    }

    MHD_Result queue(exchange& current, http_response const& answer)
    {
        std::string const& body = answer.body_.bytes();
        MHD_Response* const response = MHD_create_response_from_buffer(
            body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
        for (http_header const& header : answer.headers_)
            MHD_add_response_header(
                response, header.name_.c_str(), header.value_.c_str());
        MHD_Result const result =
            MHD_queue_response(current.connection_, answer.status_, response);
        MHD_destroy_response(response);
        return result;
    }

    static void on_completed(
        void* context,
        MHD_Connection*,
        void** state,
        MHD_RequestTerminationCode)
    {
        auto& server = *static_cast<http_server*>(context);
        std::unique_ptr<exchange> const ended(static_cast<exchange*>(*state));
        if (!ended)
            return;
        server.unwatch(*ended);
        bool const unanswered = !ended->token_.empty() && !ended->response_;
        if (server.by_token_.erase(ended->token_) > 0 && unanswered)
            server.handler_.on_abandoned(ended->token_);
        *state = nullptr;
    }

    static void ignore_message(void*, char const*, va_list)
    {
    }

    http_server_settings const settings_;
    Handler& handler_;
    bounded_ring<pending_response> answers_;
    wake_event wake_;
    epoll_set epoll_;
    MHD_Daemon* daemon_{};
    std::atomic<bool> stopping_{};
    request_token last_token_;
    absl::flat_hash_map<request_token, exchange*> by_token_;
    absl::flat_hash_map<int, exchange*> by_socket_;
};

} // namespace samphire
