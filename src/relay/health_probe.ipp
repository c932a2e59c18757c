#pragma once

#include "relay/socket_factory.hpp"

#include <sys/epoll.h>

namespace samphire
{

namespace health_probe_limits
{

constexpr absl::Duration timeout = absl::Seconds(1);
constexpr std::size_t max_answer_bytes = 64u << 10;

} // namespace health_probe_limits

template <class Codec, class Handler>
void health_probe<Codec, Handler>::start(std::string_view path, absl::Time now)
{
    file_descriptor socket =
        socket_factory::connect(upstream_, health_probe_limits::timeout);
    if (!socket.valid())
    {
        handler_.on_health_check_ended({});
        return;
    }
    constexpr bool answers_head_request = false;
    stream_.emplace(std::move(socket));
    stream_->queue(Codec::encode_check(path, upstream_));
    parser_.emplace(answers_head_request);
    deadline_ = now + health_probe_limits::timeout;
    loop_.add(
        stream_->descriptor(),
        EPOLLIN | EPOLLOUT | EPOLLRDHUP,
        [this](std::uint32_t events) { on_ready(events); });
}

template <class Codec, class Handler>
void health_probe<Codec, Handler>::tick(absl::Time now)
{
    if (is_in_progress() && now >= deadline_)
        finish({});
}

template <class Codec, class Handler>
void health_probe<Codec, Handler>::on_ready(std::uint32_t events)
{
    if (events & EPOLLOUT)
    {
        if (!socket_factory::connect_succeeded(stream_->descriptor()) ||
            !stream_->flush())
        {
            finish({});
            return;
        }
        if (!stream_->has_unsent_bytes())
            loop_.modify(stream_->descriptor(), EPOLLIN | EPOLLRDHUP);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP))
        read_answer();
}

template <class Codec, class Handler>
void health_probe<Codec, Handler>::read_answer()
{
    stream_state const state =
        stream_->receive(health_probe_limits::max_answer_bytes);
    while (!parser_->is_done() && !stream_->received().empty())
    {
        std::optional<std::size_t> const parsed_bytes =
            parser_->parse(stream_->received());
        if (!parsed_bytes ||
            parser_->memory_bytes() > health_probe_limits::max_answer_bytes)
        {
            finish({});
            return;
        }
        if (*parsed_bytes == 0)
            break;
        stream_->consume(*parsed_bytes);
    }
    if (state == stream_state::ended && stream_->received().empty() &&
        parser_->has_no_length())
        parser_->end();
    if (parser_->is_done())
        finish(Codec::decode_answer(parser_->message()));
    else if (state != stream_state::open)
        finish({});
}

template <class Codec, class Handler>
void health_probe<Codec, Handler>::finish(health_report const& report)
{
    loop_.remove(stream_->descriptor());
    stream_.reset();
    parser_.reset();
    deadline_ = absl::InfiniteFuture();
    handler_.on_health_check_ended(report);
}

} // namespace samphire
