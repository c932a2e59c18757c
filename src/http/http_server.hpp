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

/// HTTP/1.1 server based on libmicrohttpd. run() is the loop of one duty
/// thread; any thread may call answer() at any later time.
template <class Handler>
class http_server
{
public:
    /// Starts to listen; throws std::system_error when the port is in use.
    http_server(http_server_settings settings, Handler& handler)
        : settings_(std::move(settings)), handler_(handler),
          responses_(settings_.max_connections_),
          last_request_token_(settings_.token_base_)
    {
        // The concept is checked here because Handler is an incomplete type
        // where its class declares the server as a member.
        static_assert(request_handler<Handler>);
        start_mhd_daemon();
        epoll_.add(mhd_epoll_descriptor(), EPOLLIN);
        epoll_.add(wake_.descriptor(), EPOLLIN);
    }

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    ~http_server()
    {
        resume_all_connections();
        MHD_stop_daemon(mhd_daemon_);
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

    /// Answers the request with this token; unknown tokens are ignored. Each
    /// connection has at most one unanswered request, so the ring of responses
    /// cannot be full.
    void answer(request_token token, http_response response)
    {
        responses_.try_push({token, std::move(response)});
        wake_.notify();
    }

    /// Closes the connection of a request instead of answering it.
    void close_without_answer(request_token token)
    {
        responses_.try_push({token, std::nullopt});
        wake_.notify();
    }

    /// Returns the port that the server listens on. The system chooses the port
    /// when the settings say port 0.
    std::uint16_t port() const
    {
        auto const* const bind_port_info =
            MHD_get_daemon_info(mhd_daemon_, MHD_DAEMON_INFO_BIND_PORT);
        return bind_port_info->port;
    }

private:
    struct exchange
    {
        http_server* server_{};
        MHD_Connection* connection_{};
        request_token token_{};
        std::string body_;
        bool is_body_too_large_{};
        bool request_delivered_{};
        bool is_suspended_{};
        bool watched_for_disconnect_{};
        int socket_{-1};
        std::unique_ptr<http_response const> response_;
    };

    void start_mhd_daemon()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(settings_.listen_address_.address());
        address.sin_port = htons(settings_.listen_address_.port());
        mhd_daemon_ = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
            settings_.listen_address_.port(),
            nullptr,
            nullptr,
            &http_server::on_access,
            this,
            MHD_OPTION_SOCK_ADDR,
            &address,
            MHD_OPTION_LISTENING_ADDRESS_REUSE,
            1u,
            MHD_OPTION_CONNECTION_LIMIT,
            static_cast<unsigned>(settings_.max_connections_),
            MHD_OPTION_NOTIFY_COMPLETED,
            &http_server::on_completed,
            this,
            MHD_OPTION_EXTERNAL_LOGGER,
            &http_server::ignore_log_message,
            nullptr,
            MHD_OPTION_END);
        if (!mhd_daemon_)
            throw std::system_error(
                errno,
                std::generic_category(),
                "cannot listen for HTTP connections");
    }

    int mhd_epoll_descriptor() const
    {
        return MHD_get_daemon_info(mhd_daemon_, MHD_DAEMON_INFO_EPOLL_FD)
            ->epoll_fd;
    }

    absl::Duration next_timeout() const
    {
        MHD_UNSIGNED_LONG_LONG milliseconds = 0;
        if (MHD_get_timeout(mhd_daemon_, &milliseconds) == MHD_YES)
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
            else if (descriptor != mhd_epoll_descriptor())
                handle_disconnect(descriptor);
        }
        deliver_responses();
        MHD_run(mhd_daemon_);
    }

    void deliver_responses()
    {
        while (auto pending = responses_.try_pop())
        {
            auto const found = exchanges_by_token_.find(pending->token_);
            if (found == exchanges_by_token_.end())
                continue;
            exchange& current = *found->second;
            if (pending->response_)
            {
                current.response_ =
                    std::make_unique<http_response const>(*pending->response_);
            }
            else
            {
                exchanges_by_token_.erase(found);
                current.token_ = {};
            }
            resume_connection(current);
        }
    }

    /// Suspends a connection until its request is answered. libmicrohttpd does
    /// not poll a suspended connection, so the server itself watches the socket
    /// for a disconnect by the client.
    void suspend_connection(exchange& current)
    {
        current.is_suspended_ = true;
        MHD_suspend_connection(current.connection_);
        current.socket_ =
            MHD_get_connection_info(
                current.connection_, MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd;
        epoll_.add(current.socket_, EPOLLRDHUP);
        exchanges_by_socket_[current.socket_] = &current;
        current.watched_for_disconnect_ = true;
    }

    void resume_connection(exchange& current)
    {
        stop_watching_for_disconnect(current);
        if (!current.is_suspended_)
            return;
        current.is_suspended_ = false;
        MHD_resume_connection(current.connection_);
    }

    void stop_watching_for_disconnect(exchange& current)
    {
        if (!current.watched_for_disconnect_)
            return;
        current.watched_for_disconnect_ = false;
        epoll_.remove(current.socket_);
        exchanges_by_socket_.erase(current.socket_);
    }

    void handle_disconnect(int socket)
    {
        auto const found = exchanges_by_socket_.find(socket);
        if (found == exchanges_by_socket_.end())
            return;
        exchange& current = *found->second;
        exchanges_by_token_.erase(current.token_);
        handler_.on_client_disconnected(current.token_);
        current.token_ = {};
        resume_connection(current);
    }

    void resume_all_connections()
    {
        while (!exchanges_by_socket_.empty())
            resume_connection(*exchanges_by_socket_.begin()->second);
    }

    static MHD_Result on_access(
        void* context,
        MHD_Connection* connection,
        char const* url,
        char const* method,
        char const*,
        char const* data,
        std::size_t* size,
        void** exchange_pointer)
    {
        auto& server = *static_cast<http_server*>(context);
        if (!*exchange_pointer)
        {
            auto* const new_exchange = new exchange;
            new_exchange->server_ = &server;
            new_exchange->connection_ = connection;
            *exchange_pointer = new_exchange;
            return MHD_YES;
        }
        auto& current = *static_cast<exchange*>(*exchange_pointer);
        if (*size > 0)
        {
            server.append_body(current, {data, *size});
            *size = 0;
            return MHD_YES;
        }
        return server.process_request(current, url, method);
    }

    void append_body(exchange& current, std::string_view data)
    {
        current.is_body_too_large_ =
            current.is_body_too_large_ ||
            current.body_.size() + data.size() > settings_.max_body_bytes_;
        if (!current.is_body_too_large_)
            current.body_.append(data);
    }

    MHD_Result
    process_request(exchange& current, char const* url, char const* method)
    {
        if (current.is_body_too_large_)
            return queue_response(
                current,
                {.status_ = 413, .body_ = payload("body exceeds the limit\n")});
        if (current.response_)
            return queue_response(current, *current.response_);
        if (current.request_delivered_)
            // Returns MHD_NO, which closes the connection, because the client
            // has disconnected or close_without_answer() was called.
            return MHD_NO;
        deliver_request(current, url, method);
        return MHD_YES;
    }

    void deliver_request(exchange& current, char const* url, char const* method)
    {
        current.request_delivered_ = true;
        last_request_token_ = last_request_token_.next();
        current.token_ = last_request_token_;
        exchanges_by_token_.emplace(current.token_, &current);
        http_request const request{
            .method_ = method,
            .path_ = url,
            .query_arguments_ =
                connection_values(current.connection_, MHD_GET_ARGUMENT_KIND),
            .headers_ = connection_values(current.connection_, MHD_HEADER_KIND),
            .body_ = payload(std::move(current.body_))};
        // The handler runs first, so that the system calls of
        // suspend_connection() do not delay the request. A response that comes
        // before suspend_connection() stays in the ring of responses until the
        // next deliver_responses().
        handler_.on_request(current.token_, request);
        suspend_connection(current);
    }

    static header_list
    connection_values(MHD_Connection* connection, MHD_ValueKind kind)
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

    MHD_Result queue_response(exchange& current, http_response const& response)
    {
        std::string const& body = response.body_.bytes();
        MHD_Response* const mhd_response = MHD_create_response_from_buffer(
            body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
        for (http_header const& header : response.headers_)
            MHD_add_response_header(
                mhd_response, header.name_.c_str(), header.value_.c_str());
        MHD_Result const result = MHD_queue_response(
            current.connection_, response.status_, mhd_response);
        MHD_destroy_response(mhd_response);
        return result;
    }

    static void on_completed(
        void* context,
        MHD_Connection*,
        void** exchange_pointer,
        MHD_RequestTerminationCode)
    {
        auto& server = *static_cast<http_server*>(context);
        std::unique_ptr<exchange> const completed_exchange(
            static_cast<exchange*>(*exchange_pointer));
        if (!completed_exchange)
            return;
        server.stop_watching_for_disconnect(*completed_exchange);
        bool const without_response = !completed_exchange->token_.empty() &&
                                      !completed_exchange->response_;
        if (server.exchanges_by_token_.erase(completed_exchange->token_) > 0 &&
            without_response)
            server.handler_.on_client_disconnected(completed_exchange->token_);
        *exchange_pointer = nullptr;
    }

    static void ignore_log_message(void*, char const*, va_list)
    {
    }

    http_server_settings const settings_;
    Handler& handler_;
    bounded_ring<pending_response> responses_;
    wake_event wake_;
    epoll_set epoll_;
    MHD_Daemon* mhd_daemon_{};
    std::atomic<bool> stopping_{};
    request_token last_request_token_;
    absl::flat_hash_map<request_token, exchange*> exchanges_by_token_;
    absl::flat_hash_map<int, exchange*> exchanges_by_socket_;
};

} // namespace samphire
