#include "lovagehold/declaration_merger.h"

#include "declaration_reader.h"

#include <algorithm>

namespace lovagehold {

namespace {

using FileByKey = std::map<std::string, std::string>;

// A service changed by the file being merged; replaces the current one if the file has no mistakes.
struct ServiceDraft
{
  ServiceDeclaration declaration;
  FileByKey origins;
};

template<class Value>
void
set_value(const std::optional<Value>& given,
          Value& target,
          FileByKey& origins,
          const char* key,
          const std::string& prefix,
          const std::string& file)
{
  if (given) {
    target = *given;
    origins[prefix + key] = file;
  }
}

void
remove_kind(ServiceDraft& draft, const std::string& name)
{
  auto& kinds = draft.declaration.kinds;
  kinds.erase(
    std::remove_if(kinds.begin(), kinds.end(), [&](const auto& kind) { return kind.name == name; }),
    kinds.end());
  const std::string prefix = "kinds." + name + ".";
  auto origin = draft.origins.lower_bound(prefix);
  while (origin != draft.origins.end() && origin->first.compare(0, prefix.size(), prefix) == 0) {
    origin = draft.origins.erase(origin);
  }
}

RequestKind&
find_or_add_kind(ServiceDeclaration& service, const std::string& name)
{
  for (RequestKind& kind : service.kinds) {
    if (kind.name == name) {
      return kind;
    }
  }
  service.kinds.push_back({ .name = name });
  return service.kinds.back();
}

// Whether a request can match both kinds with the same path prefix.
bool
ambiguous(const RequestKind& a, const RequestKind& b)
{
  if (a.path_prefix != b.path_prefix) {
    return false;
  }
  return a.methods.empty() || b.methods.empty() ||
         std::find_first_of(
           a.methods.begin(), a.methods.end(), b.methods.begin(), b.methods.end()) !=
           a.methods.end();
}

class PatchMerger
{
public:
  PatchMerger(const DeclarationFile& file, std::vector<Mistake>& mistakes)
    : m_file(file)
    , m_mistakes(mistakes)
  {
  }

  void merge(const ServicePatch& patch, ServiceDraft& draft)
  {
    ServiceDeclaration& service = draft.declaration;
    service.name = patch.name;
    set_value(
      patch.probe_budget, service.probe_budget, draft.origins, "probe_budget", "", m_file.name);
    set_value(patch.probe_cost, service.probe_cost, draft.origins, "probe_cost", "", m_file.name);
    set_value(
      patch.error_budget, service.error_budget, draft.origins, "error_budget", "", m_file.name);
    set_value(
      patch.keep_outcomes, service.keep_outcomes, draft.origins, "keep_outcomes", "", m_file.name);
    for (const KindPatch& kind : patch.kinds) {
      if (kind.remove) {
        remove_kind(draft, kind.name);
      } else {
        merge_kind(patch.name, kind, draft);
      }
    }
    for (const KindPatch& kind : patch.kinds) {
      check_ambiguity(patch.name, kind, service);
    }
  }

private:
  void merge_kind(const ServiceName& service, const KindPatch& patch, ServiceDraft& draft)
  {
    RequestKind& kind = find_or_add_kind(draft.declaration, patch.name);
    const std::string prefix = "kinds." + patch.name + ".";
    auto& origins = draft.origins;
    // Recorded even if the file does not set the key, so that `show` can name the file that adds
    // the kind.
    origins.try_emplace(prefix + "treat", m_file.name);
    if (patch.request_class) {
      kind.idempotent = *patch.request_class != RequestClass::NonIdempotent;
    }
    set_value(patch.request_class, kind.request_class, origins, "treat", prefix, m_file.name);
    set_value(patch.methods, kind.methods, origins, "methods", prefix, m_file.name);
    set_value(patch.path_prefix, kind.path_prefix, origins, "path", prefix, m_file.name);
    set_value(patch.deadline, kind.deadline, origins, "deadline", prefix, m_file.name);
    set_value(patch.idempotent, kind.idempotent, origins, "idempotent", prefix, m_file.name);
    if (kind.request_class == RequestClass::NonIdempotent && kind.idempotent) {
      report(service,
             patch,
             "idempotent",
             "a kind treated as non-idempotent can't be idempotent (treat is set by " +
               origins[prefix + "treat"] + ")",
             "remove 'idempotent: true' or choose another treatment");
    }
  }

  void check_ambiguity(const ServiceName& service,
                       const KindPatch& patch,
                       const ServiceDeclaration& declaration)
  {
    const auto own = std::find_if(declaration.kinds.begin(),
                                  declaration.kinds.end(),
                                  [&](const auto& kind) { return kind.name == patch.name; });
    for (const RequestKind& other : declaration.kinds) {
      if (own != declaration.kinds.end() && &*own != &other && ambiguous(*own, other)) {
        report(service,
               patch,
               "path",
               "matches the same requests as kind '" + other.name + "' (path " + own->path_prefix +
                 ")",
               "give the kinds different paths or methods");
      }
    }
  }

  void report(const ServiceName& service,
              const KindPatch& patch,
              const std::string& key,
              const std::string& message,
              const std::string& remedy)
  {
    m_mistakes.push_back({ .file = m_file.name,
                           .line = patch.line,
                           .key = "services." + service + ".kinds." + patch.name + "." + key,
                           .message = message,
                           .remedy = remedy });
  }

  const DeclarationFile& m_file;
  std::vector<Mistake>& m_mistakes;
};

} // namespace

DeclarationMerger::DeclarationMerger(Configuration configuration, Origins origins)
  : m_configuration(std::move(configuration))
  , m_origins(std::move(origins))
{
}

std::vector<Mistake>
DeclarationMerger::add(const DeclarationFile& file)
{
  std::vector<Mistake> mistakes;
  const std::vector<ServicePatch> patches = read_declaration(file, mistakes);
  PatchMerger merge(file, mistakes);
  std::map<ServiceName, ServiceDraft> drafts;
  for (const ServicePatch& patch : patches) {
    if (patch.remove) {
      continue;
    }
    ServiceDraft& draft = drafts[patch.name];
    const auto known = m_configuration.services.find(patch.name);
    if (known != m_configuration.services.end()) {
      draft = { known->second, m_origins[patch.name] };
    }
    merge.merge(patch, draft);
  }
  if (!mistakes.empty()) {
    return mistakes;
  }
  for (const ServicePatch& patch : patches) {
    if (patch.remove) {
      m_configuration.services.erase(patch.name);
      m_origins.erase(patch.name);
    }
  }
  for (auto& [name, draft] : drafts) {
    m_configuration.services[name] = std::move(draft.declaration);
    m_origins[name] = std::move(draft.origins);
  }
  return mistakes;
}

bool
merges_before(const std::string& file_name, const std::string& other)
{
  const Result<std::uint64_t> number = change_number(file_name);
  const Result<std::uint64_t> other_number = change_number(other);
  if (number.has_value() && other_number.has_value() && number.value() != other_number.value()) {
    return number.value() < other_number.value();
  }
  return file_name < other;
}

} // namespace lovagehold
