#pragma once

#include "base/payload.hpp"
#include "base/revision.hpp"

namespace samphire
{

/// A policy document of a higher revision than the asker holds.
struct section_reply
{
    revision const revision_{};
    /// Policy document in its JSON form.
    payload const document_{};

    friend bool
    operator==(section_reply const&, section_reply const&) = default;
};

} // namespace samphire
