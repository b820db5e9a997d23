#pragma once

#include "lovagehold/config_parser.h"

namespace lovagehold {

/// For each service, the file that set each value, by dotted key ("kinds.read.deadline").
using Origins = std::map<ServiceName, std::map<std::string, std::string>>;

/// Merges declaration files one by one. The cost of adding a file depends on the services that it
/// names, not on the files merged before. Not thread-safe.
class DeclarationMerger
{
public:
  DeclarationMerger() = default;
  /// Continues from a previously merged configuration.
  DeclarationMerger(Configuration configuration, Origins origins);

  /// Merges the file on top of the previous ones.
  /// \return all mistakes of the file; the configuration is unchanged if there are any
  std::vector<Mistake> add(const DeclarationFile& file);

  const Configuration& configuration() const { return m_configuration; }
  const Origins& origins() const { return m_origins; }

private:
  Configuration m_configuration;
  Origins m_origins;
};

/// Whether the file is merged before the other. Files are ordered by change number, then by name,
/// so that 9-a.yaml precedes 10-b.yaml.
bool merges_before(const std::string& file_name, const std::string& other);

} // namespace lovagehold
