#pragma once

#include "base/text.hpp"

#include <absl/strings/ascii.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>
#include <sys/epoll.h>
#include <utility>

namespace samphire
{

namespace upstream_pool_limits
{

constexpr std::size_t header_bytes = 64u << 10;
constexpr std::uint64_t body_bytes = 64u << 20;
constexpr std::size_t read_bytes = 1u << 20;
// Where the upstream does not say how long it keeps idle connections.
constexpr absl::Duration default_idle = absl::Seconds(4);
// Part of the announced time that a connection is used again: whole seconds
// are announced, and both clocks run.
constexpr double idle_share = 0.6;
// Work that may not be repeated takes only a connection used a moment ago,
// which its upstream is not about to close.
constexpr absl::Duration fresh = absl::Milliseconds(1500);
constexpr absl::Duration unacknowledged = absl::Seconds(2);

inline absl::Duration announced_idle(
    boost::beast::http::response<boost::beast::http::string_body> const&
        message)
{
    auto const header = message.find(boost::beast::http::field::keep_alive);
    if (header == message.end())
        return default_idle;
    std::string const text = absl::AsciiStrToLower(
        std::string(header->value().data(), header->value().size()));
    auto const at = text.find("timeout=");
    constexpr std::size_t name_size = 8;
    if (at == std::string::npos)
        return default_idle;
    std::string_view const digits =
        std::string_view(text).substr(at + name_size);
    auto const seconds = parse_number<std::uint32_t>(
        digits.substr(0, digits.find_first_not_of("0123456789")));
    return seconds ? absl::Seconds(*seconds) * idle_share : default_idle;
}

} // namespace upstream_pool_limits

template <class Codec, class Handler>
upstream_connection* upstream_pool<Codec, Handler>::connect(std::uint64_t& id)
{
    file_descriptor socket = socket_factory::connect(
        upstream_, upstream_pool_limits::unacknowledged);
    if (!socket.valid())
        return nullptr;
    ++opened_;
    id = ++last_connection_;
    auto connection =
        std::make_unique<upstream_connection>(byte_stream(std::move(socket)));
    constexpr std::uint32_t events = EPOLLIN | EPOLLOUT | EPOLLRDHUP;
    connection->stream_.set_events(events);
    loop_.add(
        connection->stream_.descriptor(),
        events,
        [this, id](std::uint32_t ready) { on_ready(id, ready); });
    return connections_.emplace(id, std::move(connection)).first->second.get();
}

template <class Codec, class Handler>
upstream_connection* upstream_pool<Codec, Handler>::take_idle(
    bool repeatable, std::uint64_t& id, absl::Time now)
{
    while (!idle_.empty())
    {
        id = idle_.back();
        upstream_connection& connection = *connections_.at(id);
        absl::Duration const age = now - connection.idle_since_;
        if (age >= connection.idle_limit_)
        {
            idle_.pop_back();
            drop(id);
            continue;
        }
        if (!repeatable && age > upstream_pool_limits::fresh)
            return nullptr;
        idle_.pop_back();
        return &connection;
    }
    return nullptr;
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::start(
    execute_order const& order,
    upstream_record const& record,
    absl::Duration left)
{
    std::uint64_t id = 0;
    upstream_connection* connection =
        take_idle(is_repeatable(order.kind_), id, clock_.now());
    if (!connection)
        connection = connect(id);
    if (!connection)
    {
        handler_.on_upstream_failure(
            order.key_, order.fingerprint_, upstream_failure::refused);
        return;
    }
    connection->key_ = order.key_;
    connection->attempt_ = order.attempt_;
    connection->fingerprint_ = order.fingerprint_;
    connection->head_method_ = order.method_ == "HEAD";
    connection->busy_ = true;
    busy_[order.key_] = id;
    connection->stream_.queue(Codec::encode_head(order, record, left));
    connection->stream_.queue(order.body_.bytes());
    if (connection->connected_ && !connection->stream_.flush())
    {
        // The outcome is reported after the caller has returned.
        loop_.modify(connection->stream_.descriptor(), EPOLLIN | EPOLLOUT);
        return;
    }
    watch(*connection);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::abort(execution_key key)
{
    auto const found = busy_.find(key);
    if (found == busy_.end())
        return;
    std::uint64_t const id = found->second;
    busy_.erase(found);
    drop(id);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::probe()
{
    std::uint64_t id = 0;
    upstream_connection* const connection = connect(id);
    if (connection)
        connection->probe_ = true;
    else
        handler_.on_upstream_probe(false);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::on_ready(
    std::uint64_t id, std::uint32_t events)
{
    auto const found = connections_.find(id);
    if (found == connections_.end())
        return;
    upstream_connection& connection = *found->second;
    if (!connection.connected_ && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
    {
        connection.connected_ =
            socket_factory::connected(connection.stream_.descriptor());
        if (connection.probe_)
        {
            bool const reached = connection.connected_;
            drop(id);
            handler_.on_upstream_probe(reached);
            return;
        }
        if (!connection.connected_)
        {
            fail(id, connection, upstream_failure::refused);
            return;
        }
    }
    if (events & EPOLLOUT)
    {
        // A broken connection may still hold an answer.
        if (connection.stream_.flush())
            watch(connection);
        else
            loop_.modify(connection.stream_.descriptor(), EPOLLIN | EPOLLRDHUP);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP))
        read(id, connection);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::read(
    std::uint64_t id, upstream_connection& connection)
{
    stream_state const state =
        connection.stream_.receive(upstream_pool_limits::read_bytes);
    if (!connection.busy_)
    {
        // Closed by the upstream, or bytes that belong to no request.
        std::erase(idle_, id);
        drop(id);
        return;
    }
    parse(id, connection, state == stream_state::ended);
    auto const again = connections_.find(id);
    if (again == connections_.end() || !again->second->busy_ ||
        state == stream_state::open)
        return;
    fail(id, *again->second, upstream_failure::connection_lost);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::parse(
    std::uint64_t id, upstream_connection& connection, bool ended)
{
    namespace http = boost::beast::http;
    while (true)
    {
        std::string_view const bytes = connection.stream_.received();
        if (bytes.empty() && !ended)
            return;
        if (!connection.parser_)
        {
            if (bytes.empty())
                return;
            connection.parser_.emplace();
            connection.parser_->eager(true);
            connection.parser_->header_limit(
                upstream_pool_limits::header_bytes);
            connection.parser_->body_limit(upstream_pool_limits::body_bytes);
            connection.parser_->skip(connection.head_method_);
        }
        boost::system::error_code error;
        std::size_t used = 0;
        if (!bytes.empty())
        {
            used = connection.parser_->put(
                boost::asio::buffer(bytes.data(), bytes.size()), error);
            connection.stream_.consume(used);
        }
        if (error && error != http::error::need_more)
        {
            fail(id, connection, upstream_failure::garbled);
            return;
        }
        if (!connection.parser_->is_done() && ended &&
            connection.stream_.received().empty() &&
            connection.parser_->is_header_done() &&
            connection.parser_->need_eof())
        {
            error = {};
            connection.parser_->put_eof(error);
        }
        if (!connection.parser_->is_done())
        {
            if (used == 0)
                return;
            continue;
        }
        auto const& message = connection.parser_->get();
        constexpr unsigned first_final_status = 200;
        bool const interim = message.result_int() < first_final_status;
        bool const others =
            Codec::answered_attempt(message) != connection.attempt_;
        if (interim || others)
        {
            // An extra answer to an earlier request; ours follows.
            connection.parser_.reset();
            continue;
        }
        finish(id, connection);
        return;
    }
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::finish(
    std::uint64_t id, upstream_connection& connection)
{
    bool const reusable = connection.parser_->keep_alive() &&
                          connection.stream_.received().empty() &&
                          !connection.stream_.has_unsent();
    auto message = connection.parser_->release();
    connection.parser_.reset();
    execution_key const key = connection.key_;
    busy_.erase(key);
    connection.busy_ = false;
    if (reusable)
    {
        connection.idle_since_ = clock_.now();
        connection.idle_limit_ = upstream_pool_limits::announced_idle(message);
        idle_.push_back(id);
    }
    else
        drop(id);
    handler_.on_upstream_answer(key, Codec::decode_answer(message));
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::fail(
    std::uint64_t id, upstream_connection& connection, upstream_failure failure)
{
    execution_key const key = connection.key_;
    std::uint64_t const fingerprint = connection.fingerprint_;
    busy_.erase(key);
    drop(id);
    handler_.on_upstream_failure(key, fingerprint, failure);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::watch(upstream_connection& connection)
{
    bool const writes =
        !connection.connected_ || connection.stream_.has_unsent();
    std::uint32_t const events =
        EPOLLIN | EPOLLRDHUP | (writes ? std::uint32_t{EPOLLOUT} : 0);
    if (connection.stream_.set_events(events))
        loop_.modify(connection.stream_.descriptor(), events);
}

template <class Codec, class Handler>
std::unique_ptr<upstream_connection>
upstream_pool<Codec, Handler>::drop(std::uint64_t id)
{
    auto node = connections_.extract(id);
    if (node.empty())
        return nullptr;
    loop_.remove(node.mapped()->stream_.descriptor());
    return std::move(node.mapped());
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::tick(absl::Time now)
{
    std::vector<std::uint64_t> kept;
    kept.reserve(idle_.size());
    for (std::uint64_t const id : idle_)
    {
        upstream_connection const& connection = *connections_.at(id);
        if (now - connection.idle_since_ < connection.idle_limit_)
            kept.push_back(id);
        else
            drop(id);
    }
    idle_ = std::move(kept);
}

} // namespace samphire
