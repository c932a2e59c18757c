#include "platform/object_store.hpp"

#include <nlohmann/json.hpp>

namespace samphire::standin
{

stored_object object_store::get(object_name const& name) const
{
    auto const found = objects_.find(name);
    if (found == objects_.end())
        return {};
    return {found->second.version_, found->second.value_};
}

bool object_store::put_if(
    object_name const& name, object_version expected, payload const& value)
{
    if (get(name).version_ != expected)
        return false;
    objects_[name] = {expected.next(), value};
    return true;
}

std::string object_store::names_json() const
{
    nlohmann::json list = nlohmann::json::array();
    for (auto const& [name, object] : objects_)
        list.push_back(name.value());
    return nlohmann::json{{"names", list}}.dump() + "\n";
}

} // namespace samphire::standin
