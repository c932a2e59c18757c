#pragma once

#include "base/text.hpp"

#include <absl/strings/ascii.h>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <string_view>
#include <sys/epoll.h>
#include <utility>

namespace samphire
{

namespace upstream_pool_limits
{

constexpr std::size_t max_buffered_bytes = 1u << 20;
// Interim responses, and answers to other requests, before the answer to the
// request in progress.
constexpr std::size_t max_skipped_messages = 64;
// Time for which an idle connection is reused when the upstream does not
// announce a keep-alive timeout.
constexpr absl::Duration default_max_idle_duration = absl::Seconds(4);
// An idle connection is reused for this ratio of the announced keep-alive
// timeout, because the timeout is announced in whole seconds and each side
// measures the idle time with its own clock.
constexpr double idle_duration_ratio = 0.6;
// A request that must not be repeated reuses only a connection that was idle
// for less than this time, because the upstream may be about to close a
// connection that was idle for longer.
constexpr absl::Duration max_idle_duration_for_non_repeatable =
    absl::Milliseconds(1500);
constexpr absl::Duration unacknowledged_timeout = absl::Seconds(2);

inline absl::Duration max_idle_duration(
    boost::beast::http::response<boost::beast::http::string_body> const&
        message)
{
    auto const header = message.find(boost::beast::http::field::keep_alive);
    if (header == message.end())
        return default_max_idle_duration;
    std::string const text = absl::AsciiStrToLower(
        std::string(header->value().data(), header->value().size()));
    auto const at = text.find("timeout=");
    constexpr std::size_t name_size = 8;
    if (at == std::string::npos)
        return default_max_idle_duration;
    std::string_view const digits =
        std::string_view(text).substr(at + name_size);
    auto const seconds = parse_number<std::uint32_t>(
        digits.substr(0, digits.find_first_not_of("0123456789")));
    return seconds ? absl::Seconds(*seconds) * idle_duration_ratio
                   : default_max_idle_duration;
}

} // namespace upstream_pool_limits

template <class Codec, class Handler>
upstream_connection*
upstream_pool<Codec, Handler>::open_connection(std::uint64_t& id)
{
    file_descriptor socket = socket_factory::connect(
        upstream_, upstream_pool_limits::unacknowledged_timeout);
    if (!socket.valid())
        return nullptr;
    ++opened_connections_;
    id = ++last_connection_id_;
    auto connection =
        std::make_unique<upstream_connection>(byte_stream(std::move(socket)));
    constexpr std::uint32_t events = EPOLLIN | EPOLLOUT | EPOLLRDHUP;
    connection->stream_.replace_epoll_events(events);
    loop_.add(
        connection->stream_.descriptor(),
        events,
        [this, id](std::uint32_t ready) { on_ready(id, ready); });
    return connections_.emplace(id, std::move(connection)).first->second.get();
}

template <class Codec, class Handler>
upstream_connection* upstream_pool<Codec, Handler>::acquire_idle_connection(
    bool repeatable, std::uint64_t& id, absl::Time now)
{
    while (!idle_connections_.empty())
    {
        id = idle_connections_.back();
        upstream_connection& connection = *connections_.at(id);
        absl::Duration const age = now - connection.idle_since_;
        if (age >= connection.max_idle_duration_)
        {
            idle_connections_.pop_back();
            close_connection(id);
            continue;
        }
        if (!repeatable &&
            age > upstream_pool_limits::max_idle_duration_for_non_repeatable)
            return nullptr;
        idle_connections_.pop_back();
        return &connection;
    }
    return nullptr;
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::start(
    execute_order const& order,
    upstream_record const& record,
    absl::Duration remaining_time)
{
    std::uint64_t id = 0;
    upstream_connection* connection =
        acquire_idle_connection(is_repeatable(order.kind_), id, clock_.now());
    if (!connection)
        connection = open_connection(id);
    if (!connection)
    {
        handler_.on_upstream_failure(
            order.key_, order.fingerprint_, upstream_failure::refused);
        return;
    }
    connection->key_ = order.key_;
    connection->attempt_ = order.attempt_;
    connection->fingerprint_ = order.fingerprint_;
    connection->is_head_request_ = order.method_ == "HEAD";
    connection->request_in_progress_ = true;
    busy_connection_ids_[order.key_] = id;
    connection->stream_.queue(
        Codec::encode_head(order, record, remaining_time));
    connection->stream_.queue(order.body_.bytes());
    if (connection->connected_ && !connection->stream_.flush())
    {
        // The event loop reports the failed write after start() has returned to
        // its caller.
        loop_.modify(connection->stream_.descriptor(), EPOLLIN | EPOLLOUT);
        return;
    }
    update_events(*connection);
}

template <class Codec, class Handler>
bool upstream_pool<Codec, Handler>::withdraw(execution_key key)
{
    auto const found = busy_connection_ids_.find(key);
    if (found == busy_connection_ids_.end() ||
        connections_.at(found->second)->connected_)
        return false;
    std::uint64_t const id = found->second;
    busy_connection_ids_.erase(found);
    close_connection(id);
    return true;
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::abort(execution_key key)
{
    auto const found = busy_connection_ids_.find(key);
    if (found == busy_connection_ids_.end())
        return;
    std::uint64_t const id = found->second;
    busy_connection_ids_.erase(found);
    close_connection(id);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::probe_upstream()
{
    std::uint64_t id = 0;
    upstream_connection* const connection = open_connection(id);
    if (connection)
        connection->is_probe_ = true;
    else
        handler_.on_upstream_probe_result(false);
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
            socket_factory::connect_succeeded(connection.stream_.descriptor());
        if (connection.is_probe_)
        {
            bool const reached = connection.connected_;
            close_connection(id);
            handler_.on_upstream_probe_result(reached);
            return;
        }
        if (!connection.connected_)
        {
            fail_request(id, connection, upstream_failure::refused);
            return;
        }
    }
    if (events & EPOLLOUT)
    {
        // Waits only for input when writing fails, since an answer may still be
        // readable.
        if (connection.stream_.flush())
            update_events(connection);
        else
            loop_.modify(connection.stream_.descriptor(), EPOLLIN | EPOLLRDHUP);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP))
        read_answer(id, connection);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::read_answer(
    std::uint64_t id, upstream_connection& connection)
{
    stream_state const state =
        connection.stream_.receive(upstream_pool_limits::max_buffered_bytes);
    if (!connection.request_in_progress_)
    {
        // Closes the connection, since the upstream has closed its side or has
        // sent bytes that belong to no request.
        std::erase(idle_connections_, id);
        close_connection(id);
        return;
    }
    // Without a length, the end of the stream tells a whole answer from that of
    // an upstream that has died only if the upstream takes the whole request.
    bool const request_sent = !connection.stream_.has_unsent_bytes();
    parse_answer(id, connection, state == stream_state::ended && request_sent);
    auto const still_open = connections_.find(id);
    if (still_open == connections_.end() ||
        !still_open->second->request_in_progress_ ||
        state == stream_state::open)
        return;
    if (state == stream_state::ended && !request_sent &&
        still_open->second->parser_ &&
        still_open->second->parser_->has_no_length())
    {
        still_open->second->waits_to_send_rest_ = true;
        update_events(*still_open->second);
        return;
    }
    fail_request(id, *still_open->second, upstream_failure::connection_lost);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::parse_answer(
    std::uint64_t id, upstream_connection& connection, bool ended)
{
    while (true)
    {
        std::string_view const bytes = connection.stream_.received();
        if (bytes.empty() && (!ended || !connection.parser_))
            return;
        if (!connection.parser_)
            connection.parser_.emplace(connection.is_head_request_);
        answer_parser& parser = *connection.parser_;
        std::optional<std::size_t> const parsed_bytes =
            bytes.empty() ? 0 : parser.parse(bytes);
        if (!parsed_bytes)
        {
            fail_request(id, connection, upstream_failure::garbled);
            return;
        }
        connection.stream_.consume(*parsed_bytes);
        count_answer_bytes(connection, parser.memory_bytes());
        give_up_largest_answers();
        if (!connections_.contains(id))
            return;
        if (!parser.is_done() && ended &&
            connection.stream_.received().empty() && parser.has_no_length())
            parser.end();
        if (!parser.is_done())
        {
            if (*parsed_bytes == 0)
                return;
            continue;
        }
        if (is_answer_to_request(connection))
        {
            finish_request(id, connection);
            return;
        }
        connection.parser_.reset();
        count_answer_bytes(connection, 0);
        if (++connection.skipped_messages_ >
            upstream_pool_limits::max_skipped_messages)
        {
            fail_request(id, connection, upstream_failure::garbled);
            return;
        }
    }
}

template <class Codec, class Handler>
bool upstream_pool<Codec, Handler>::is_answer_to_request(
    upstream_connection const& connection)
{
    constexpr unsigned first_final_status = 200;
    auto const& message = connection.parser_->message();
    return message.result_int() >= first_final_status &&
           Codec::answered_attempt(message) == connection.attempt_;
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::count_answer_bytes(
    upstream_connection& connection, std::size_t bytes)
{
    total_answer_bytes_ += bytes - connection.answer_bytes_;
    connection.answer_bytes_ = bytes;
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::give_up_largest_answers()
{
    while (total_answer_bytes_ > max_total_answer_bytes_)
    {
        auto const largest = std::max_element(
            connections_.begin(),
            connections_.end(),
            [](auto const& left, auto const& right) {
                return left.second->answer_bytes_ < right.second->answer_bytes_;
            });
        fail_request(
            largest->first, *largest->second, upstream_failure::garbled);
    }
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::finish_request(
    std::uint64_t id, upstream_connection& connection)
{
    bool const reusable = connection.parser_->keep_alive() &&
                          connection.stream_.received().empty() &&
                          !connection.stream_.has_unsent_bytes();
    auto message = connection.parser_->release();
    connection.parser_.reset();
    connection.skipped_messages_ = 0;
    count_answer_bytes(connection, 0);
    execution_key const key = connection.key_;
    busy_connection_ids_.erase(key);
    connection.request_in_progress_ = false;
    if (reusable)
    {
        connection.idle_since_ = clock_.now();
        connection.max_idle_duration_ =
            upstream_pool_limits::max_idle_duration(message);
        idle_connections_.push_back(id);
    }
    else
        close_connection(id);
    handler_.on_upstream_answer(key, Codec::decode_answer(message));
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::fail_request(
    std::uint64_t id, upstream_connection& connection, upstream_failure failure)
{
    execution_key const key = connection.key_;
    std::uint64_t const fingerprint = connection.fingerprint_;
    busy_connection_ids_.erase(key);
    close_connection(id);
    handler_.on_upstream_failure(key, fingerprint, failure);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::update_events(
    upstream_connection& connection)
{
    bool const waits_to_write =
        !connection.connected_ || connection.stream_.has_unsent_bytes();
    // An ended stream stays readable, so that waiting for input would spin.
    bool const waits_to_read =
        !connection.waits_to_send_rest_ || !waits_to_write;
    std::uint32_t const events =
        (waits_to_read ? std::uint32_t{EPOLLIN | EPOLLRDHUP} : 0) |
        (waits_to_write ? std::uint32_t{EPOLLOUT} : 0);
    if (connection.stream_.replace_epoll_events(events))
        loop_.modify(connection.stream_.descriptor(), events);
}

template <class Codec, class Handler>
std::unique_ptr<upstream_connection>
upstream_pool<Codec, Handler>::close_connection(std::uint64_t id)
{
    auto node = connections_.extract(id);
    if (node.empty())
        return nullptr;
    loop_.remove(node.mapped()->stream_.descriptor());
    total_answer_bytes_ -= node.mapped()->answer_bytes_;
    return std::move(node.mapped());
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::tick(absl::Time now)
{
    std::vector<std::uint64_t> still_idle;
    still_idle.reserve(idle_connections_.size());
    for (std::uint64_t const id : idle_connections_)
    {
        upstream_connection const& connection = *connections_.at(id);
        if (now - connection.idle_since_ < connection.max_idle_duration_)
            still_idle.push_back(id);
        else
            close_connection(id);
    }
    idle_connections_ = std::move(still_idle);
}

} // namespace samphire
