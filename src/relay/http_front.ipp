#pragma once

#include "base/text.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <sys/epoll.h>
#include <utility>
#include <vector>

namespace samphire
{

template <class Handler>
http_front<Handler>::http_front(
    endpoint listen,
    front_limits limits,
    std::uint64_t& last_token,
    monotonic_clock const& clock,
    io_loop& loop,
    Handler& handler)
    : limits_(limits), last_token_(last_token), clock_(clock), loop_(loop),
      handler_(handler), listener_(socket_factory::listen(listen))
{
    // The handler is complete here, but not yet where it holds the front.
    static_assert(front_handler<Handler>);
    loop_.add(
        listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
}

template <class Handler>
void http_front<Handler>::set_limits(client_limits limits)
{
    limits_.client_ = limits;
}

template <class Handler>
void http_front<Handler>::accept_all()
{
    constexpr int accepts_per_event = 64;
    for (int i = 0; i < accepts_per_event; ++i)
    {
        file_descriptor socket = socket_factory::accept(listener_.get());
        if (!socket.valid())
            return;
        // A client over the bound is closed before anything was read of it.
        if (connections_.size() >= limits_.connections_)
            continue;
        std::uint64_t const id = ++last_connection_;
        auto connection =
            std::make_unique<front_connection>(byte_stream(std::move(socket)));
        connection->last_read_ = clock_.now();
        connection->stream_.set_events(EPOLLIN | EPOLLRDHUP);
        loop_.add(
            connection->stream_.descriptor(),
            EPOLLIN | EPOLLRDHUP,
            [this, id](std::uint32_t events) { on_ready(id, events); });
        front_connection& accepted =
            *connections_.emplace(id, std::move(connection)).first->second;
        // Its request is mostly there already.
        read(id, accepted);
    }
}

template <class Handler>
void http_front<Handler>::on_ready(std::uint64_t id, std::uint32_t events)
{
    auto const found = connections_.find(id);
    if (found == connections_.end())
        return;
    front_connection& connection = *found->second;
    if (events & EPOLLOUT)
    {
        if (!connection.stream_.flush())
        {
            drop(id);
            return;
        }
        if (!connection.stream_.has_unsent() && connection.closing_)
        {
            drop(id);
            return;
        }
        watch(connection);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
        read(id, connection);
}

template <class Handler>
void http_front<Handler>::read(std::uint64_t id, front_connection& connection)
{
    constexpr std::size_t pipelined_limit = 64u << 10;
    constexpr std::size_t read_limit = 1u << 20;
    stream_state const state = connection.stream_.receive(
        connection.token_.empty() ? read_limit : pipelined_limit);
    // A client that stops sending has left: ours wait with both sides open.
    if (state != stream_state::open &&
        (!connection.token_.empty() || connection.closing_ ||
         connection.stream_.received().empty() ||
         state == stream_state::broken))
    {
        drop(id);
        return;
    }
    if (connection.token_.empty() && !connection.closing_)
        parse(id, connection);
    auto const again = connections_.find(id);
    // The end of a client whose last request was just handed over.
    if (state == stream_state::ended && again != connections_.end() &&
        again->second->token_.empty() && !again->second->closing_)
        drop(id);
}

template <class Handler>
void http_front<Handler>::parse(std::uint64_t id, front_connection& connection)
{
    namespace http = boost::beast::http;
    while (connection.token_.empty() && !connection.closing_)
    {
        std::string_view const bytes = connection.stream_.received();
        if (bytes.empty())
            return;
        absl::Time const now = clock_.now();
        connection.last_read_ = now;
        if (!connection.parser_)
        {
            connection.parser_.emplace();
            connection.parser_->eager(true);
            connection.parser_->header_limit(
                static_cast<std::uint32_t>(limits_.client_.header_bytes_));
            connection.parser_->body_limit(limits_.client_.body_bytes_);
            connection.begun_ = now;
            connection.head_seen_ = false;
        }
        boost::system::error_code error;
        std::size_t const used = connection.parser_->put(
            boost::asio::buffer(bytes.data(), bytes.size()), error);
        connection.stream_.consume(used);
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
        if (connection.parser_->is_header_done() && !connection.head_seen_)
        {
            connection.head_seen_ = true;
            if (!check_head(id, connection))
                return;
        }
        if (!connection.parser_->is_done())
        {
            std::size_t const size = connection.parser_->get().body().size();
            if (size > connection.held_)
            {
                held_ += size - connection.held_;
                connection.held_ = size;
            }
            if (held_ > limits_.held_bytes_)
            {
                reject(id, connection, 503);
                return;
            }
            if (used == 0)
                return;
            continue;
        }
        auto message = connection.parser_->release();
        connection.parser_.reset();
        connection.keep_alive_ = message.keep_alive();
        connection.head_method_ = message.method() == http::verb::head;
        connection.token_ = client_token(++last_token_);
        by_token_.emplace(connection.token_, id);
        handler_.on_front_request(
            connection.token_, message, connection.begun_);
        if (!connections_.contains(id))
            return;
    }
}

template <class Handler>
bool http_front<Handler>::check_head(
    std::uint64_t id, front_connection& connection)
{
    namespace http = boost::beast::http;
    auto const& head = connection.parser_->get();
    // Beast passes over a coding that it does not know, and what follows would
    // be read as another request.
    auto const coding = head.find(http::field::transfer_encoding);
    if (coding != head.end() &&
        (!boost::beast::iequals(coding->value(), "chunked") ||
         head.find(http::field::content_length) != head.end()))
    {
        reject(id, connection, 400);
        return false;
    }
    auto const length = connection.parser_->content_length();
    if (length && *length > limits_.client_.body_bytes_)
    {
        reject(id, connection, 413);
        return false;
    }
    if (length && held_ + *length > limits_.held_bytes_)
    {
        reject(id, connection, 503);
        return false;
    }
    if (length)
    {
        connection.held_ = static_cast<std::size_t>(*length);
        held_ += connection.held_;
    }
    auto const expect = head.find(http::field::expect);
    if (expect != head.end() && !connection.parser_->is_done() &&
        boost::beast::iequals(expect->value(), "100-continue"))
        connection.stream_.send("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

template <class Handler>
void http_front<Handler>::reject(
    std::uint64_t id, front_connection& connection, std::uint16_t status)
{
    connection.parser_.reset();
    front_answer answer{.status_ = status, .close_ = true};
    if (status == 503)
        answer.headers_ = "Retry-After: 0.5\r\n";
    write(id, connection, answer);
}

template <class Handler>
void http_front<Handler>::answer(client_token token, front_answer const& answer)
{
    auto const found = by_token_.find(token);
    if (found == by_token_.end())
        return;
    std::uint64_t const id = found->second;
    by_token_.erase(found);
    front_connection& connection = *connections_.at(id);
    connection.token_ = {};
    write(id, connection, answer);
    if (!connections_.contains(id) || connection.closing_)
        return;
    // A next request may have come early.
    if (!connection.stream_.received().empty())
        parse(id, connection);
}

template <class Handler>
void http_front<Handler>::write(
    std::uint64_t id, front_connection& connection, front_answer const& answer)
{
    release(connection);
    bool const close = answer.close_ || closing_ || !connection.keep_alive_;
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
    bool const bodiless =
        answer.status_ == no_content || answer.status_ == not_modified;
    if (!bodiless)
        append_text(
            bytes,
            "Content-Length: ",
            std::to_string(answer.body_.size()),
            "\r\n");
    append_text(bytes, close ? "Connection: close\r\n\r\n" : "\r\n");
    if (!bodiless && !connection.head_method_)
        bytes += answer.body_.bytes();
    connection.closing_ = close;
    if (!connection.stream_.send(std::move(bytes)) ||
        (close && !connection.stream_.has_unsent()))
    {
        drop(id);
        return;
    }
    watch(connection);
}

template <class Handler>
void http_front<Handler>::watch(front_connection& connection)
{
    std::uint32_t const events =
        EPOLLIN | EPOLLRDHUP |
        (connection.stream_.has_unsent() ? std::uint32_t{EPOLLOUT} : 0);
    if (connection.stream_.set_events(events))
        loop_.modify(connection.stream_.descriptor(), events);
}

template <class Handler>
void http_front<Handler>::release(front_connection& connection)
{
    held_ -= std::min(held_, connection.held_);
    connection.held_ = 0;
    connection.begun_ = absl::InfiniteFuture();
}

template <class Handler>
void http_front<Handler>::drop(std::uint64_t id)
{
    auto const node = connections_.extract(id);
    if (node.empty())
        return;
    front_connection& connection = *node.mapped();
    release(connection);
    loop_.remove(connection.stream_.descriptor());
    if (connection.token_.empty())
        return;
    by_token_.erase(connection.token_);
    handler_.on_front_gone(connection.token_);
}

template <class Handler>
void http_front<Handler>::tick(absl::Time now)
{
    std::vector<std::uint64_t> idle;
    std::vector<std::uint64_t> slow;
    for (auto const& [id, connection] : connections_)
    {
        if (!connection->token_.empty())
            continue;
        bool const reading = connection->parser_.has_value();
        if (reading && !connection->head_seen_ &&
            connection->begun_ + limits_.client_.header_timeout_ <= now)
            slow.push_back(id);
        else if (connection->last_read_ + limits_.client_.idle_timeout_ <= now)
            idle.push_back(id);
    }
    for (std::uint64_t const id : slow)
        reject(id, *connections_.at(id), 408);
    for (std::uint64_t const id : idle)
        drop(id);
}

} // namespace samphire
