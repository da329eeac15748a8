package org.rosemaryfront.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of what operators declare about traffic; immutable.
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
			.forEach((route) -> this.routesByHost.merge(route.host(), List.of(route), TrafficConfiguration::joined));
		this.services = new HashMap<>();
		services.forEach((service) -> this.services.put(service.name(), service));
		organisations.forEach(
				(organisation) -> organisation.keys().forEach((key) -> this.organisationsByKey.put(key, organisation)));
		checkServices(routes);
	}

	// -- factories

	/**
	 * A configuration.
	 * @param version the version, which only grows
	 * @param routes the routes
	 * @param services the services
	 * @param organisations the organisations, empty when callers need no keys
	 * @param limits what callers may send
	 * @return the configuration
	 * @throws IllegalArgumentException when a route names a service that is not declared
	 */
	public static TrafficConfiguration of(long version, List<Route> routes, List<ServiceSpec> services,
			List<Organisation> organisations, CallerLimits limits) {
		return new TrafficConfiguration(version, routes, services, organisations, limits);
	}

	// -- queries

	/**
	 * The version.
	 * @return the number that operators gave it
	 */
	public long version() {
		return this.version;
	}

	/**
	 * The route of a call: of those of its host, the one with the longest prefix.
	 * @param host the host that the caller named
	 * @param path the path without the query
	 * @return the route, empty when none matches
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
	 * The organisation that holds a key.
	 * @param key the key
	 * @return the organisation, empty when nobody holds it
	 */
	public Optional<Organisation> organisation(String key) {
		return Optional.ofNullable(this.organisationsByKey.get(key));
	}

	/**
	 * All organisations.
	 * @return the organisations, empty when callers need no keys
	 */
	public List<Organisation> organisations() {
		return this.organisations;
	}

	/**
	 * A service.
	 * @param name its name
	 * @return the service, empty when it is not declared
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * All services.
	 * @return the services, in no order
	 */
	public List<ServiceSpec> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * What callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	private void checkServices(List<Route> routes) {
		for (Route route : routes) {
			for (Route.Target target : route.targets()) {
				if (!this.services.containsKey(target.service())) {
					throw new IllegalArgumentException(
							"route " + route.name() + " names the service " + target.service() + ", which is missing");
				}
			}
		}
	}

	private static List<Route> joined(List<Route> first, List<Route> second) {
		List<Route> all = new ArrayList<>(first);
		all.addAll(second);
		return List.copyOf(all);
	}

}
