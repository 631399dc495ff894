/**
 * Reads YAML configuration files: {@link petrelplank.yaml.Yaml} parses a file into nodes with positions, and
 * {@link petrelplank.yaml.Section} gives typed, validated access to a mapping. Errors name the file, line and column.
 */
package petrelplank.yaml;
