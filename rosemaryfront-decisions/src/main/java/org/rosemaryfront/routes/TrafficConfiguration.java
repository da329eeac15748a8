package org.rosemaryfront.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the traffic configuration declared by operators; immutable.
 *
 * <pre>
 * configuration.route("quotes.example", "/draft/x").map(Route::name);
 * </pre>
 */
public final class TrafficConfiguration {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, ServiceSpec> services;

	private final Map<String, Organisation> organisationsByKey = new HashMap<>();

	private final List<Organisation> organisations;

	private final CallerLimits limits;

	private TrafficConfiguration(long version, List<Route> routes, List<ServiceSpec> services,
			List<Organisation> organisations, CallerLimits limits) {
		this.version = version;
		this.limits = limits;
		this.organisations = List.copyOf(organisations);
		this.routesByHost = new HashMap<>();
		routes.stream()
			.sorted(Comparator.comparingInt((Route route) -> route.prefix().length()).reversed())
			.forEach((route) -> this.routesByHost.merge(route.host(), List.of(route),
					TrafficConfiguration::concatenate));
		this.services = new HashMap<>();
		services.forEach((service) -> this.services.put(service.name(), service));
		organisations.forEach(
				(organisation) -> organisation.keys().forEach((key) -> this.organisationsByKey.put(key, organisation)));
		checkServices(routes);
	}

	// -- factories

	/**
	 * Creates a configuration.
	 * @param version the version, which increases with each change
	 * @param routes the routes
	 * @param services the services
	 * @param organisations the organisations, empty if callers need no keys
	 * @param limits the limits for callers
	 * @return the configuration
	 * @throws IllegalArgumentException if a route refers to a service that is not
	 * declared
	 */
	public static TrafficConfiguration of(long version, List<Route> routes, List<ServiceSpec> services,
			List<Organisation> organisations, CallerLimits limits) {
		return new TrafficConfiguration(version, routes, services, organisations, limits);
	}

	// -- queries

	/**
	 * Returns the version assigned by the operators.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the route of a call: the route of its host with the longest matching
	 * prefix.
	 * @param host the host name in the request
	 * @param path the path without the query
	 * @return the route, empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		for (Route route : this.routesByHost.getOrDefault(host, List.of())) {
			if (path.startsWith(route.prefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the organisation to which an API key belongs.
	 * @param key the API key
	 * @return the organisation, empty if the key is unknown
	 */
	public Optional<Organisation> organisation(String key) {
		return Optional.ofNullable(this.organisationsByKey.get(key));
	}

	/**
	 * Returns all routes.
	 * @return the routes, in no particular order
	 */
	public List<Route> routes() {
		return this.routesByHost.values().stream().flatMap(List::stream).toList();
	}

	/**
	 * Returns all organisations.
	 * @return the organisations, empty if callers need no keys
	 */
	public List<Organisation> organisations() {
		return this.organisations;
	}

	/**
	 * Returns a service by its name.
	 * @param name the name of the service
	 * @return the service, empty if it is not declared
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns all services.
	 * @return the services, in no particular order
	 */
	public List<ServiceSpec> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	private void checkServices(List<Route> routes) {
		for (Route route : routes) {
			for (Route.Target target : route.targets()) {
				if (!this.services.containsKey(target.service())) {
					throw new IllegalArgumentException("route " + route.name() + " refers to service "
							+ target.service() + ", which is not declared");
				}
			}
		}
	}

	private static List<Route> concatenate(List<Route> first, List<Route> second) {
		List<Route> all = new ArrayList<>(first);
		all.addAll(second);
		return List.copyOf(all);
	}

}
