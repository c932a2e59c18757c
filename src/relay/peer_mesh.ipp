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
    // The handler is complete here, but not yet where it holds the mesh.
    static_assert(mesh_handler<Handler>);
    loop_.add(
        listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
}

template <class Handler>
std::uint64_t
peer_mesh<Handler>::add(file_descriptor socket, endpoint daemon, bool dialled)
{
    std::uint64_t const id = ++last_link_;
    absl::Time const now = clock_.now();
    auto link = std::make_unique<peer_link>(peer_link{
        .stream_ = byte_stream(std::move(socket)),
        .daemon_ = daemon,
        .dialled_ = dialled,
        .connected_ = !dialled,
        .opened_ = now,
        .last_received_ = now,
        .last_beacon_ = now});
    std::uint32_t const events =
        EPOLLIN | (dialled ? std::uint32_t{EPOLLOUT} : 0);
    link->stream_.set_events(events);
    loop_.add(
        link->stream_.descriptor(),
        events,
        [this, id](std::uint32_t ready) { on_ready(id, ready); });
    links_.emplace(id, std::move(link));
    return id;
}

template <class Handler>
void peer_mesh<Handler>::accept_all()
{
    while (true)
    {
        file_descriptor socket = socket_factory::accept(listener_.get());
        if (!socket.valid())
            return;
        socket_factory::give_up_after(socket.get(), times_.silence_);
        add(std::move(socket), {}, false);
    }
}

template <class Handler>
void peer_mesh<Handler>::want(endpoint daemon, absl::Time now)
{
    auto const [entry, added] = dials_.try_emplace(daemon);
    if (!added)
        return;
    entry->second.lost_at_ = now;
    dial(daemon, entry->second, now);
}

template <class Handler>
void peer_mesh<Handler>::forget(endpoint daemon)
{
    auto const found = dials_.find(daemon);
    if (found == dials_.end())
        return;
    std::uint64_t const link = found->second.link_;
    dials_.erase(found);
    if (link != 0)
        drop(link);
}

template <class Handler>
void peer_mesh<Handler>::dial(
    endpoint daemon, dial_state& state, absl::Time now)
{
    state.pause_ = std::min(
        std::max(state.pause_ * 2, times_.redial_), times_.longest_redial_);
    state.next_ = now + state.pause_;
    file_descriptor socket = socket_factory::connect(daemon, times_.silence_);
    if (!socket.valid())
        return;
    state.link_ = add(std::move(socket), daemon, true);
    write(state.link_, handler_.own_hello());
}

template <class Handler>
bool peer_mesh<Handler>::write(std::uint64_t id, relay_message const& message)
{
    peer_link& link = *links_.at(id);
    bool const was_empty = !link.stream_.has_unsent();
    link.stream_.queue(codec_.encode(message));
    bool const sent =
        (!link.connected_ || !was_empty || link.stream_.flush()) &&
        link.stream_.unsent_size() <= unsent_limit;
    if (!sent)
        // Reported by the loop, since the caller may be deciding now.
        loop_.modify(link.stream_.descriptor(), EPOLLIN | EPOLLOUT);
    else
        watch(link);
    return sent;
}

template <class Handler>
bool peer_mesh<Handler>::send(endpoint daemon, relay_message const& message)
{
    auto const found = out_.find(daemon);
    if (found == out_.end())
        return false;
    write(found->second, message);
    return true;
}

template <class Handler>
bool peer_mesh<Handler>::reply(
    std::uint64_t incarnation, relay_message const& message)
{
    auto const found = in_.find(incarnation);
    return found != in_.end() && write(found->second, message);
}

template <class Handler>
void peer_mesh<Handler>::broadcast(relay_message const& message)
{
    for (auto const& [daemon, id] : out_)
        write(id, message);
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
        link.connected_ = socket_factory::connected(link.stream_.descriptor());
        if (!link.connected_)
        {
            drop(id);
            return;
        }
    }
    if (events & EPOLLOUT)
    {
        if (!link.stream_.flush() || link.stream_.unsent_size() > unsent_limit)
        {
            drop(id);
            return;
        }
        watch(link);
    }
    if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
        read(id);
}

template <class Handler>
void peer_mesh<Handler>::read(std::uint64_t id)
{
    peer_link& link = *links_.at(id);
    stream_state const state = link.stream_.receive(read_limit);
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
        if (*size > relay_codec::frame_limit)
        {
            drop(id);
            return;
        }
        std::size_t const whole = relay_codec::length_size + *size;
        if (bytes.size() < whole)
            break;
        found->second->last_received_ = clock_.now();
        if (!take_frame(id, bytes.substr(relay_codec::length_size, *size)))
        {
            drop(id);
            return;
        }
        auto const again = links_.find(id);
        if (again == links_.end())
            return;
        again->second->stream_.consume(whole);
    }
    if (state != stream_state::open)
        drop(id);
}

template <class Handler>
bool peer_mesh<Handler>::take_frame(std::uint64_t id, std::string_view frame)
{
    auto message = codec_.decode(frame);
    if (!message)
        return false;
    peer_link& link = *links_.at(id);
    daemon_hello const* const hello = std::get_if<daemon_hello>(&*message);
    if (!link.up_)
    {
        if (!hello)
            return false;
        on_first_message(id, *hello);
        return true;
    }
    if (daemon_beacon const* const beacon =
            std::get_if<daemon_beacon>(&*message);
        beacon && !beacon->is_answer_)
    {
        daemon_beacon answer = handler_.own_beacon();
        answer.is_answer_ = true;
        write(id, answer);
    }
    handler_.on_peer_message(link.daemon_, *message);
    return true;
}

template <class Handler>
void peer_mesh<Handler>::on_first_message(
    std::uint64_t id, daemon_hello const& hello)
{
    peer_link& link = *links_.at(id);
    link.up_ = true;
    link.incarnation_ = hello.incarnation_;
    if (link.dialled_)
    {
        out_[link.daemon_] = id;
        dial_state& state = dials_[link.daemon_];
        state.pause_ = absl::ZeroDuration();
        state.lost_at_ = absl::InfiniteFuture();
        handler_.on_hello(hello, true);
        return;
    }
    link.daemon_ = hello.daemon_;
    // A daemon that dials again has given its former connection up.
    auto const former = in_.find(hello.incarnation_);
    if (former != in_.end())
        drop(former->second);
    in_[hello.incarnation_] = id;
    write(id, handler_.own_hello());
    handler_.on_hello(hello, false);
}

template <class Handler>
void peer_mesh<Handler>::watch(peer_link& link)
{
    bool const writes = !link.connected_ || link.stream_.has_unsent();
    std::uint32_t const events =
        EPOLLIN | (writes ? std::uint32_t{EPOLLOUT} : 0);
    if (link.stream_.set_events(events))
        loop_.modify(link.stream_.descriptor(), events);
}

template <class Handler>
void peer_mesh<Handler>::drop(std::uint64_t id)
{
    auto const node = links_.extract(id);
    if (node.empty())
        return;
    peer_link const& link = *node.mapped();
    loop_.remove(link.stream_.descriptor());
    if (link.dialled_)
    {
        if (auto const dial = dials_.find(link.daemon_);
            dial != dials_.end() && dial->second.link_ == id)
        {
            dial->second.link_ = 0;
            if (link.up_)
            {
                dial->second.lost_at_ = clock_.now();
                // A broken connection to a living daemon is made again at once.
                dial->second.next_ = absl::InfinitePast();
            }
        }
        auto const out = out_.find(link.daemon_);
        if (out != out_.end() && out->second == id)
        {
            out_.erase(out);
            handler_.on_peer_down(link.daemon_);
        }
        return;
    }
    auto const in = in_.find(link.incarnation_);
    if (link.up_ && in != in_.end() && in->second == id)
    {
        in_.erase(in);
        handler_.on_entry_down(link.incarnation_);
    }
}

template <class Handler>
void peer_mesh<Handler>::tick(absl::Time now)
{
    absl::Duration const interval = beacon_interval();
    std::vector<std::uint64_t> lost;
    std::vector<std::uint64_t> due;
    for (auto const& [id, link] : links_)
    {
        absl::Duration const quiet = now - link->last_received_;
        bool const late_connect =
            !link->up_ && now - link->opened_ > times_.connect_;
        if (late_connect || quiet > interval + times_.silence_)
            lost.push_back(id);
        else if (
            link->dialled_ && link->up_ && now - link->last_beacon_ >= interval)
            due.push_back(id);
    }
    for (std::uint64_t const id : lost)
        drop(id);
    daemon_beacon const beacon = handler_.own_beacon();
    for (std::uint64_t const id : due)
    {
        auto const found = links_.find(id);
        if (found == links_.end())
            continue;
        found->second->last_beacon_ = now;
        write(id, beacon);
    }
    for (auto& [daemon, state] : dials_)
    {
        if (state.link_ == 0 && state.next_ <= now)
            dial(daemon, state, now);
    }
}

template <class Handler>
absl::Duration
peer_mesh<Handler>::unreached(endpoint daemon, absl::Time now) const
{
    auto const found = dials_.find(daemon);
    if (found == dials_.end() || found->second.lost_at_ > now)
        return absl::ZeroDuration();
    return now - found->second.lost_at_;
}

} // namespace samphire
