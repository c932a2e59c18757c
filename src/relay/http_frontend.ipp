#pragma once

#include "base/text.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <sys/epoll.h>
#include <utility>
#include <vector>

namespace samphire
{

template <class Handler>
http_frontend<Handler>::http_frontend(
    endpoint listen,
    frontend_limits limits,
    std::uint64_t& last_token,
    monotonic_clock const& clock,
    io_loop& loop,
    Handler& handler)
    : limits_(limits), last_token_(last_token), clock_(clock), loop_(loop),
      handler_(handler), listener_(socket_factory::listen(listen))
{
    // The concept is checked here because Handler is still incomplete where it
    // declares the frontend as a member.
    static_assert(frontend_handler<Handler>);
    loop_.add(
        listener_.get(),
        EPOLLIN,
        [this](std::uint32_t) { accept_pending_connections(); },
        descriptor_role::service);
}

template <class Handler>
void http_frontend<Handler>::set_limits(client_limits limits)
{
    limits_.client_ = limits;
}

template <class Handler>
void http_frontend<Handler>::accept_pending_connections()
{
    constexpr int max_accepts_per_event = 64;
    for (int i = 0; i < max_accepts_per_event; ++i)
    {
        file_descriptor socket = socket_factory::accept(listener_.get());
        if (!socket.valid())
            return;
        // Closes a connection over max_connections_ without reading from it.
        if (connections_.size() >= limits_.max_connections_)
            continue;
        std::uint64_t const id = ++last_connection_id_;
        auto connection = std::make_unique<frontend_connection>(
            byte_stream(std::move(socket)));
        connection->last_read_at_ = clock_.now();
        connection->stream_.replace_epoll_events(EPOLLIN | EPOLLRDHUP);
        loop_.add(
            connection->stream_.descriptor(),
            EPOLLIN | EPOLLRDHUP,
            [this, id](std::uint32_t events) { on_ready(id, events); });
        frontend_connection& accepted =
            *connections_.emplace(id, std::move(connection)).first->second;
        // Reads at once, since the request has usually arrived together with
        // the connection.
        read_requests(id, accepted);
    }
}

template <class Handler>
void http_frontend<Handler>::on_ready(std::uint64_t id, std::uint32_t events)
{
    auto const found = connections_.find(id);
    if (found == connections_.end())
        return;
    frontend_connection& connection = *found->second;
    if (events & EPOLLOUT)
    {
        if (!connection.stream_.flush())
        {
            close_connection(id);
            return;
        }
        if (!connection.stream_.has_unsent_bytes() &&
            connection.close_after_write_)
        {
            close_connection(id);
            return;
        }
        update_events(connection);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
        read_requests(id, connection);
}

template <class Handler>
void http_frontend<Handler>::read_requests(
    std::uint64_t id, frontend_connection& connection)
{
    constexpr std::size_t max_pipelined_bytes = 64u << 10;
    constexpr std::size_t max_buffered_bytes = 1u << 20;
    stream_state const state = connection.stream_.receive(
        connection.token_.empty() ? max_buffered_bytes : max_pipelined_bytes);
    // Treats a client that shuts down its sending side as disconnected: the
    // clients of this daemon keep both directions open while they wait for an
    // answer.
    if (state != stream_state::open &&
        (!connection.token_.empty() || connection.close_after_write_ ||
         connection.stream_.received().empty() ||
         state == stream_state::broken))
    {
        close_connection(id);
        return;
    }
    if (connection.token_.empty() && !connection.close_after_write_)
        parse_requests(id, connection);
    auto const still_open = connections_.find(id);
    // Closes the connection of a client that has disconnected while no answer
    // is pending.
    if (state == stream_state::ended && still_open != connections_.end() &&
        still_open->second->token_.empty() &&
        !still_open->second->close_after_write_)
        close_connection(id);
}

template <class Handler>
void http_frontend<Handler>::parse_requests(
    std::uint64_t id, frontend_connection& connection)
{
    namespace http = boost::beast::http;
    while (connection.token_.empty() && !connection.close_after_write_)
    {
        std::string_view const bytes = connection.stream_.received();
        if (bytes.empty())
            return;
        absl::Time const now = clock_.now();
        connection.last_read_at_ = now;
        if (!connection.parser_)
        {
            connection.parser_.emplace();
            connection.parser_->eager(true);
            connection.parser_->header_limit(
                static_cast<std::uint32_t>(limits_.client_.max_header_bytes_));
            connection.parser_->body_limit(limits_.client_.max_body_bytes_);
            connection.request_started_at_ = now;
            connection.header_checked_ = false;
        }
        boost::system::error_code error;
        std::size_t const parsed_bytes = connection.parser_->put(
            boost::asio::buffer(bytes.data(), bytes.size()), error);
        connection.stream_.consume(parsed_bytes);
        if (error && error != http::error::need_more)
        {
            std::uint16_t status = 400;
            if (error == http::error::header_limit)
                status = 431;
            else if (error == http::error::body_limit)
                status = 413;
            reject(id, connection, status);
            return;
        }
        if (connection.parser_->is_header_done() && !connection.header_checked_)
        {
            connection.header_checked_ = true;
            if (!check_header(id, connection))
                return;
        }
        if (!connection.parser_->is_done())
        {
            std::size_t const size = connection.parser_->get().body().size();
            if (size > connection.reserved_body_bytes_)
            {
                reserved_body_bytes_ += size - connection.reserved_body_bytes_;
                connection.reserved_body_bytes_ = size;
            }
            if (reserved_body_bytes_ > limits_.max_total_body_bytes_)
            {
                reject(id, connection, 503);
                return;
            }
            if (parsed_bytes == 0)
                return;
            continue;
        }
        auto message = connection.parser_->release();
        connection.parser_.reset();
        // The close may have arrived together with the request, when this
        // daemon is late to read.
        if (connection.stream_.has_peer_closed())
        {
            close_connection(id);
            handler_.on_frontend_request_abandoned(message);
            return;
        }
        connection.keep_alive_ = message.keep_alive();
        connection.is_head_request_ = message.method() == http::verb::head;
        connection.token_ = client_token(++last_token_);
        connection_ids_by_token_.emplace(connection.token_, id);
        handler_.on_frontend_request(
            connection.token_, message, connection.request_started_at_);
        if (!connections_.contains(id))
            return;
    }
}

template <class Handler>
bool http_frontend<Handler>::check_header(
    std::uint64_t id, frontend_connection& connection)
{
    namespace http = boost::beast::http;
    auto const& head = connection.parser_->get();
    // Rejects an unknown transfer coding, which Beast would ignore, so that the
    // body would be parsed as the next request. Also rejects a request with
    // both a coding and a length, which is ambiguous.
    auto const coding = head.find(http::field::transfer_encoding);
    if (coding != head.end() &&
        (!boost::beast::iequals(coding->value(), "chunked") ||
         head.find(http::field::content_length) != head.end()))
    {
        reject(id, connection, 400);
        return false;
    }
    auto const length = connection.parser_->content_length();
    if (length && *length > limits_.client_.max_body_bytes_)
    {
        reject(id, connection, 413);
        return false;
    }
    if (length &&
        reserved_body_bytes_ + *length > limits_.max_total_body_bytes_)
    {
        reject(id, connection, 503);
        return false;
    }
    if (length)
    {
        connection.reserved_body_bytes_ = static_cast<std::size_t>(*length);
        reserved_body_bytes_ += connection.reserved_body_bytes_;
    }
    auto const expect = head.find(http::field::expect);
    if (expect != head.end() && !connection.parser_->is_done() &&
        boost::beast::iequals(expect->value(), "100-continue"))
        connection.stream_.send("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

template <class Handler>
void http_frontend<Handler>::reject(
    std::uint64_t id, frontend_connection& connection, std::uint16_t status)
{
    connection.parser_.reset();
    frontend_answer answer{.status_ = status, .close_connection_ = true};
    if (status == 503)
        answer.headers_ = "Retry-After: 0.5\r\n";
    write_answer(id, connection, answer);
}

template <class Handler>
void http_frontend<Handler>::answer(
    client_token token, frontend_answer const& answer)
{
    auto const found = connection_ids_by_token_.find(token);
    if (found == connection_ids_by_token_.end())
        return;
    std::uint64_t const id = found->second;
    connection_ids_by_token_.erase(found);
    frontend_connection& connection = *connections_.at(id);
    connection.token_ = {};
    write_answer(id, connection, answer);
    if (!connections_.contains(id) || connection.close_after_write_)
        return;
    // Parses the next request if the client has pipelined one.
    if (!connection.stream_.received().empty())
        parse_requests(id, connection);
}

template <class Handler>
void http_frontend<Handler>::write_answer(
    std::uint64_t id,
    frontend_connection& connection,
    frontend_answer const& answer)
{
    release_body_bytes(connection);
    bool const close = answer.close_connection_ || closes_after_answers_ ||
                       !connection.keep_alive_;
    std::string bytes;
    bytes.reserve(answer.headers_.size() + answer.body_.size() + 128);
    auto const reason = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(answer.status_));
    append_text(
        bytes,
        "HTTP/1.1 ",
        std::to_string(answer.status_),
        " ",
        std::string_view(reason.data(), reason.size()),
        "\r\n",
        answer.headers_);
    constexpr std::uint16_t no_content = 204;
    constexpr std::uint16_t not_modified = 304;
    bool const has_no_body =
        answer.status_ == no_content || answer.status_ == not_modified;
    if (!has_no_body)
        append_text(
            bytes,
            "Content-Length: ",
            std::to_string(answer.body_.size()),
            "\r\n");
    append_text(bytes, close ? "Connection: close\r\n\r\n" : "\r\n");
    if (!has_no_body && !connection.is_head_request_)
        bytes += answer.body_.bytes();
    connection.close_after_write_ = close;
    if (!connection.stream_.send(std::move(bytes)) ||
        (close && !connection.stream_.has_unsent_bytes()))
    {
        close_connection(id);
        return;
    }
    update_events(connection);
}

template <class Handler>
void http_frontend<Handler>::update_events(frontend_connection& connection)
{
    std::uint32_t const events =
        EPOLLIN | EPOLLRDHUP |
        (connection.stream_.has_unsent_bytes() ? std::uint32_t{EPOLLOUT} : 0);
    if (connection.stream_.replace_epoll_events(events))
        loop_.modify(connection.stream_.descriptor(), events);
}

template <class Handler>
void http_frontend<Handler>::release_body_bytes(frontend_connection& connection)
{
    reserved_body_bytes_ -=
        std::min(reserved_body_bytes_, connection.reserved_body_bytes_);
    connection.reserved_body_bytes_ = 0;
    connection.request_started_at_ = absl::InfiniteFuture();
}

template <class Handler>
void http_frontend<Handler>::close_connection(std::uint64_t id)
{
    auto const node = connections_.extract(id);
    if (node.empty())
        return;
    frontend_connection& connection = *node.mapped();
    release_body_bytes(connection);
    loop_.remove(connection.stream_.descriptor());
    if (connection.token_.empty())
        return;
    connection_ids_by_token_.erase(connection.token_);
    handler_.on_frontend_disconnect(connection.token_);
}

template <class Handler>
std::size_t http_frontend<Handler>::unsent_answer_count() const
{
    return static_cast<std::size_t>(std::count_if(
        connections_.begin(),
        connections_.end(),
        [](auto const& entry)
        { return entry.second->stream_.has_unsent_bytes(); }));
}

template <class Handler>
void http_frontend<Handler>::tick(absl::Time now)
{
    std::vector<std::uint64_t> idle_connection_ids;
    std::vector<std::uint64_t> slow_connection_ids;
    for (auto const& [id, connection] : connections_)
    {
        if (!connection->token_.empty())
            continue;
        bool const is_reading_request = connection->parser_.has_value();
        if (is_reading_request && !connection->header_checked_ &&
            connection->request_started_at_ + limits_.client_.header_timeout_ <=
                now)
            slow_connection_ids.push_back(id);
        else if (
            connection->last_read_at_ + limits_.client_.idle_timeout_ <= now)
            idle_connection_ids.push_back(id);
    }
    for (std::uint64_t const id : slow_connection_ids)
        reject(id, *connections_.at(id), 408);
    for (std::uint64_t const id : idle_connection_ids)
        close_connection(id);
}

} // namespace samphire
