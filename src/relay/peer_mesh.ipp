#pragma once

#include <algorithm>
#include <sys/epoll.h>
#include <utility>

namespace samphire
{

template <class Handler>
peer_mesh<Handler>::peer_mesh(
    endpoint listen,
    mesh_times times,
    relay_codec codec,
    monotonic_clock const& clock,
    io_loop& loop,
    Handler& handler)
    : times_(times), codec_(codec), clock_(clock), loop_(loop),
      handler_(handler), listener_(socket_factory::listen(listen))
{
    // The concept is checked here because Handler is still incomplete where it
    // declares the mesh as a member.
    static_assert(peer_mesh_handler<Handler>);
    loop_.add(
        listener_.get(),
        EPOLLIN,
        [this](std::uint32_t) { accept_pending_connections(); },
        descriptor_role::service);
}

template <class Handler>
std::uint64_t peer_mesh<Handler>::add_link(
    file_descriptor socket, endpoint daemon, bool dialled)
{
    std::uint64_t const id = ++last_link_id_;
    absl::Time const now = clock_.now();
    auto link = std::make_unique<peer_link>(peer_link{
        .stream_ = byte_stream(std::move(socket)),
        .daemon_ = daemon,
        .dialled_ = dialled,
        .connected_ = !dialled,
        .opened_at_ = now,
        .last_received_at_ = now,
        .last_beacon_at_ = now});
    std::uint32_t const events =
        EPOLLIN | (dialled ? std::uint32_t{EPOLLOUT} : 0);
    link->stream_.replace_epoll_events(events);
    loop_.add(
        link->stream_.descriptor(),
        events,
        [this, id](std::uint32_t ready) { on_ready(id, ready); });
    links_.emplace(id, std::move(link));
    return id;
}

template <class Handler>
void peer_mesh<Handler>::accept_pending_connections()
{
    while (true)
    {
        file_descriptor socket = socket_factory::accept(listener_.get());
        if (!socket.valid())
            return;
        socket_factory::set_unacknowledged_timeout(
            socket.get(), times_.silence_timeout_);
        add_link(std::move(socket), {}, false);
    }
}

template <class Handler>
void peer_mesh<Handler>::add_peer(endpoint daemon, absl::Time now)
{
    auto const [entry, added] = dial_states_.try_emplace(daemon);
    if (!added)
        return;
    entry->second.unreachable_since_ = now;
    dial(daemon, entry->second, now);
}

template <class Handler>
void peer_mesh<Handler>::remove_peer(endpoint daemon)
{
    auto const found = dial_states_.find(daemon);
    if (found == dial_states_.end())
        return;
    std::uint64_t const link = found->second.link_id_;
    dial_states_.erase(found);
    if (link != 0)
        close_link(link);
}

template <class Handler>
void peer_mesh<Handler>::dial(
    endpoint daemon, dial_state& peer_dial_state, absl::Time now)
{
    peer_dial_state.redial_delay_ = std::min(
        std::max(peer_dial_state.redial_delay_ * 2, times_.min_redial_delay_),
        times_.max_redial_delay_);
    peer_dial_state.next_dial_at_ = now + peer_dial_state.redial_delay_;
    file_descriptor socket =
        socket_factory::connect(daemon, times_.silence_timeout_);
    if (!socket.valid())
        return;
    peer_dial_state.link_id_ = add_link(std::move(socket), daemon, true);
    write_message(peer_dial_state.link_id_, handler_.own_hello());
}

template <class Handler>
bool peer_mesh<Handler>::write_message(
    std::uint64_t id, relay_message const& message)
{
    peer_link& link = *links_.at(id);
    bool const had_no_unsent_bytes = !link.stream_.has_unsent_bytes();
    link.stream_.queue(codec_.encode(message));
    bool const sent =
        (!link.connected_ || !had_no_unsent_bytes || link.stream_.flush()) &&
        link.stream_.unsent_bytes() <= max_unsent_bytes;
    if (!sent)
        // The event loop closes the link later, so that the handler is not
        // called back during its own call that sends the message.
        loop_.modify(link.stream_.descriptor(), EPOLLIN | EPOLLOUT);
    else
        update_events(link);
    return sent;
}

template <class Handler>
bool peer_mesh<Handler>::send(endpoint daemon, relay_message const& message)
{
    auto const found = outgoing_link_ids_.find(daemon);
    if (found == outgoing_link_ids_.end())
        return false;
    write_message(found->second, message);
    return true;
}

template <class Handler>
bool peer_mesh<Handler>::reply(
    std::uint64_t incarnation, relay_message const& message)
{
    auto const found = incoming_link_ids_.find(incarnation);
    return found != incoming_link_ids_.end() &&
           write_message(found->second, message);
}

template <class Handler>
void peer_mesh<Handler>::broadcast(relay_message const& message)
{
    for (auto const& [daemon, id] : outgoing_link_ids_)
        write_message(id, message);
}

template <class Handler>
void peer_mesh<Handler>::send_beacons()
{
    broadcast(handler_.own_beacon());
}

template <class Handler>
void peer_mesh<Handler>::on_ready(std::uint64_t id, std::uint32_t events)
{
    auto const found = links_.find(id);
    if (found == links_.end())
        return;
    peer_link& link = *found->second;
    if (!link.connected_ && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
    {
        link.connected_ =
            socket_factory::connect_succeeded(link.stream_.descriptor());
        if (!link.connected_)
        {
            close_link(id);
            return;
        }
    }
    if (events & EPOLLOUT)
    {
        if (!link.stream_.flush() ||
            link.stream_.unsent_bytes() > max_unsent_bytes)
        {
            close_link(id);
            return;
        }
        update_events(link);
    }
    if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
        read_frames(id);
}

template <class Handler>
void peer_mesh<Handler>::read_frames(std::uint64_t id)
{
    peer_link& link = *links_.at(id);
    stream_state const state = link.stream_.receive(max_buffered_bytes);
    while (true)
    {
        auto const found = links_.find(id);
        if (found == links_.end())
            return;
        byte_stream& stream = found->second->stream_;
        std::string_view const bytes = stream.received();
        auto const size = relay_codec::frame_size(bytes);
        if (!size)
            break;
        if (*size > relay_codec::max_frame_bytes)
        {
            close_link(id);
            return;
        }
        std::size_t const encoded_size =
            relay_codec::length_prefix_size + *size;
        if (bytes.size() < encoded_size)
            break;
        found->second->last_received_at_ = clock_.now();
        if (!handle_frame(
                id, bytes.substr(relay_codec::length_prefix_size, *size)))
        {
            close_link(id);
            return;
        }
        auto const still_open = links_.find(id);
        if (still_open == links_.end())
            return;
        still_open->second->stream_.consume(encoded_size);
    }
    if (state != stream_state::open)
        close_link(id);
}

template <class Handler>
bool peer_mesh<Handler>::handle_frame(std::uint64_t id, std::string_view frame)
{
    auto message = codec_.decode(frame);
    if (!message)
        return false;
    peer_link& link = *links_.at(id);
    daemon_hello const* const hello = std::get_if<daemon_hello>(&*message);
    if (!link.hello_received_)
    {
        if (!hello)
            return false;
        on_first_hello(id, *hello);
        return true;
    }
    if (daemon_beacon const* const beacon =
            std::get_if<daemon_beacon>(&*message);
        beacon && !beacon->is_answer_)
    {
        daemon_beacon answer = handler_.own_beacon();
        answer.is_answer_ = true;
        write_message(id, answer);
    }
    handler_.on_peer_message(link.daemon_, *message);
    return true;
}

template <class Handler>
void peer_mesh<Handler>::on_first_hello(
    std::uint64_t id, daemon_hello const& hello)
{
    peer_link& link = *links_.at(id);
    link.hello_received_ = true;
    link.incarnation_ = hello.incarnation_;
    if (link.dialled_)
    {
        outgoing_link_ids_[link.daemon_] = id;
        dial_state& peer_dial_state = dial_states_[link.daemon_];
        peer_dial_state.redial_delay_ = absl::ZeroDuration();
        peer_dial_state.unreachable_since_ = absl::InfiniteFuture();
        handler_.on_hello(hello, true);
        return;
    }
    link.daemon_ = hello.daemon_;
    // Closes the previous link of the daemon, which has abandoned that link by
    // dialling again.
    auto const previous = incoming_link_ids_.find(hello.incarnation_);
    if (previous != incoming_link_ids_.end())
        close_link(previous->second);
    incoming_link_ids_[hello.incarnation_] = id;
    write_message(id, handler_.own_hello());
    handler_.on_hello(hello, false);
}

template <class Handler>
void peer_mesh<Handler>::update_events(peer_link& link)
{
    bool const waits_to_write =
        !link.connected_ || link.stream_.has_unsent_bytes();
    std::uint32_t const events =
        EPOLLIN | (waits_to_write ? std::uint32_t{EPOLLOUT} : 0);
    if (link.stream_.replace_epoll_events(events))
        loop_.modify(link.stream_.descriptor(), events);
}

template <class Handler>
void peer_mesh<Handler>::close_link(std::uint64_t id)
{
    auto const node = links_.extract(id);
    if (node.empty())
        return;
    peer_link const& link = *node.mapped();
    loop_.remove(link.stream_.descriptor());
    if (link.dialled_)
    {
        if (auto const dial = dial_states_.find(link.daemon_);
            dial != dial_states_.end() && dial->second.link_id_ == id)
        {
            dial->second.link_id_ = 0;
            if (link.hello_received_)
            {
                dial->second.unreachable_since_ = clock_.now();
                // Dials again without delay, since the daemon was reachable.
                dial->second.next_dial_at_ = absl::InfinitePast();
            }
        }
        auto const out = outgoing_link_ids_.find(link.daemon_);
        if (out != outgoing_link_ids_.end() && out->second == id)
        {
            outgoing_link_ids_.erase(out);
            handler_.on_peer_disconnected(link.daemon_);
        }
        return;
    }
    auto const in = incoming_link_ids_.find(link.incarnation_);
    if (link.hello_received_ && in != incoming_link_ids_.end() &&
        in->second == id)
    {
        incoming_link_ids_.erase(in);
        handler_.on_entry_disconnected(link.incarnation_);
    }
}

template <class Handler>
void peer_mesh<Handler>::tick(absl::Time now)
{
    absl::Duration const interval = beacon_interval();
    std::vector<std::uint64_t> expired_link_ids;
    std::vector<std::uint64_t> beacon_link_ids;
    for (auto const& [id, link] : links_)
    {
        absl::Duration const silent_duration = now - link->last_received_at_;
        bool const connect_timed_out =
            !link->hello_received_ &&
            now - link->opened_at_ > times_.connect_timeout_;
        if (connect_timed_out ||
            silent_duration > interval + times_.silence_timeout_)
            expired_link_ids.push_back(id);
        else if (
            link->dialled_ && link->hello_received_ &&
            now - link->last_beacon_at_ >= interval)
            beacon_link_ids.push_back(id);
    }
    for (std::uint64_t const id : expired_link_ids)
        close_link(id);
    daemon_beacon const beacon = handler_.own_beacon();
    for (std::uint64_t const id : beacon_link_ids)
    {
        auto const found = links_.find(id);
        if (found == links_.end())
            continue;
        found->second->last_beacon_at_ = now;
        write_message(id, beacon);
    }
    for (auto& [daemon, peer_dial_state] : dial_states_)
    {
        if (peer_dial_state.link_id_ == 0 &&
            peer_dial_state.next_dial_at_ <= now)
            dial(daemon, peer_dial_state, now);
    }
}

template <class Handler>
std::size_t peer_mesh<Handler>::unsent_link_count() const
{
    return static_cast<std::size_t>(std::count_if(
        links_.begin(),
        links_.end(),
        [](auto const& entry)
        {
            return entry.second->hello_received_ &&
                   entry.second->stream_.has_unsent_bytes();
        }));
}

template <class Handler>
absl::Duration
peer_mesh<Handler>::unreachable_duration(endpoint daemon, absl::Time now) const
{
    auto const found = dial_states_.find(daemon);
    if (found == dial_states_.end() || found->second.unreachable_since_ > now)
        return absl::ZeroDuration();
    return now - found->second.unreachable_since_;
}

} // namespace samphire
