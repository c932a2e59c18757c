#pragma once

#include "base/payload.hpp"
#include "execution/key_binding.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>

namespace samphire
{

/// Content of one object `bindings/<n>` of the platform.
class binding_shard
{
public:
    /// Reads the JSON form; an empty value is an empty shard. Nothing when
    /// the text is not of that form.
    static std::optional<binding_shard> parse(payload const& text);

    payload text() const;

    /// Null when the key has no binding.
    key_binding const* find(request_id const& key) const;

    /// Starts the next write; its bindings carry its number.
    void start_write();

    /// Stores the ticket as the next generation of the key.
    void bind(request_id const& key, execution_ticket const& ticket);

    /// Drops the oldest bindings until the text is within `bytes`, except
    /// those of the last `retained_writes` writes. False when it stays larger.
    bool shrink(std::size_t bytes, std::uint64_t retained_writes);

private:
    std::uint64_t writes_{};
    absl::flat_hash_map<request_id, key_binding> bindings_;
};

} // namespace samphire
