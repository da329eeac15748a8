import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;

import javax.lang.model.element.Element;
import javax.lang.model.element.ElementKind;
import javax.lang.model.element.ExecutableElement;
import javax.lang.model.element.Modifier;
import javax.lang.model.element.TypeElement;
import javax.lang.model.element.VariableElement;
import javax.lang.model.type.ArrayType;
import javax.lang.model.type.DeclaredType;
import javax.lang.model.type.ExecutableType;
import javax.lang.model.type.TypeKind;
import javax.lang.model.type.TypeMirror;
import javax.lang.model.type.TypeVariable;
import javax.lang.model.type.WildcardType;
import javax.lang.model.util.ElementFilter;
import javax.lang.model.util.Elements;
import javax.lang.model.util.Types;
import javax.tools.DiagnosticCollector;
import javax.tools.JavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

import com.sun.source.tree.*;
import com.sun.source.util.JavacTask;
import com.sun.source.util.TreePath;
import com.sun.source.util.TreePathScanner;
import com.sun.source.util.Trees;

/**
 * Prints facts about Java sources, one a line, fields parted by tabs, for
 * {@code bin/outside-names}. Started as {@code java outside-names.java ROOT}, with the
 * paths of the sources on standard input.
 *
 * <p>
 * The compiler reads the sources without their libraries, so that the result does not
 * depend on what is installed. Where a type is therefore unknown, the types that the
 * project declares for variables and methods of the same name stand in for it.
 *
 * <ul>
 * <li>{@code string VALUE OWNER METHOD INDEX VARARG PARAMETERS PLACE}: a string literal or
 * constant, and the call that takes it;</li>
 * <li>{@code event CONSTANT NUMBER PLACE}: a constant of an {@code EventCode};</li>
 * <li>{@code json-component}, {@code enum-value}, {@code record-text}, {@code class-text}:
 * {@code TYPE.NAME PLACE USE}, a name that leaves the process by itself;</li>
 * <li>{@code main CLASS PLACE};</li>
 * <li>{@code unresolved TEXT PLACE}: JSON written from a value of no known type.</li>
 * </ul>
 */
class OutsideNames {

	/** Methods that take an Object without showing it to anybody. */
	private static final Set<String> SILENT = Set.of("equals", "contains", "containsKey", "containsValue", "get",
			"remove", "getOrDefault", "indexOf", "hash", "hashCode", "compare", "same", "isNull", "nonNull", "cast",
			"isInstance", "identityHashCode", "compareTo", "compareAndSet");

	/** Types whose methods take constants of enums or records as they are. */
	private static final Set<String> HOLDERS = Set.of("java.util.EnumSet", "java.util.EnumMap");

	/** Methods of a mapper whose arguments are the roots of JSON documents. */
	private static final String ROOTS = "(writeValue|readValue|convertValue|valueToTree|treeToValue|readerFor|writerFor"
			+ "|updateValue|constructType).*";

	private final Set<String> facts = new TreeSet<>();

	/** Methods that give the document that they are called on. */
	private static final String BUILDERS = "put|set|setAll|putNull|header|status";

	/** What a lambda's parameter comes from: the expression that takes the lambda. */
	private final Map<Element, TreePath> chains = new HashMap<>();

	private final Map<ExecutableElement, List<List<TreePath>>> calls = new HashMap<>();

	private final Map<ExecutableElement, List<TreePath>> references = new HashMap<>();

	private final Map<ExecutableElement, List<TreePath>> returns = new HashMap<>();

	private final Map<VariableElement, List<TreePath>> sources = new HashMap<>();

	private final List<TreePath> roots = new ArrayList<>();

	private final Map<String, TypeElement> types = new HashMap<>();

	/** The project's types in a declaration, by what it declares. */
	private final Map<Element, Set<TypeElement>> declaredTypes = new HashMap<>();

	/** The same by the name declared. */
	private final Map<String, Set<TypeElement>> namedTypes = new HashMap<>();

	/** Calls of methods that the compiler could not tell apart, by name and arguments. */
	private final Map<String, List<List<TreePath>>> unknownCalls = new HashMap<>();

	private final Path root;

	private final Trees trees;

	private final Elements elements;

	private final Types typeUtils;

	private final TypeElement throwable;

	OutsideNames(Path root, JavacTask task) {
		this.root = root;
		this.trees = Trees.instance(task);
		this.elements = task.getElements();
		this.typeUtils = task.getTypes();
		this.throwable = this.elements.getTypeElement("java.lang.Throwable");
	}

	public static void main(String[] args) throws IOException {
		Path root = Path.of(args[0]).toAbsolutePath();
		List<Path> files = new String(System.in.readAllBytes()).lines().map(Path::of).toList();
		var compiler = ToolProvider.getSystemJavaCompiler();
		DiagnosticCollector<JavaFileObject> problems = new DiagnosticCollector<>();
		try (StandardJavaFileManager manager = compiler.getStandardFileManager(problems, null, null)) {
			JavacTask task = (JavacTask) compiler.getTask(null, manager, problems,
					List.of("-proc:none", "-XDshould-stop.ifError=FLOW", "-implicit:none", "-cp", ""), null,
					manager.getJavaFileObjectsFromPaths(files));
			List<CompilationUnitTree> units = new ArrayList<>();
			task.parse().forEach(units::add);
			task.analyze();
			requireValid(problems);
			OutsideNames names = new OutsideNames(root, task);
			units.forEach(names::declare);
			units.forEach(names::nameTypes);
			units.forEach((unit) -> names.new Scanner().scan(unit, null));
			names.followDocuments();
			names.facts.forEach(System.out::println);
		}
	}

	/** Missing classes of libraries are expected; sources that cannot be parsed are not. */
	private static void requireValid(DiagnosticCollector<JavaFileObject> problems) {
		List<String> faults = problems.getDiagnostics()
			.stream()
			.filter((each) -> each.getCode().matches("compiler\\.err\\.(expected|illegal|premature|not\\.stmt|unclosed).*"))
			.map(String::valueOf)
			.toList();
		if (!faults.isEmpty()) {
			faults.forEach(System.err::println);
			System.exit(1);
		}
	}

	// -- reading

	private void declare(CompilationUnitTree unit) {
		new TreePathScanner<Void, Void>() {
			@Override
			public Void visitClass(ClassTree node, Void none) {
				TypeElement type = (TypeElement) OutsideNames.this.trees.getElement(getCurrentPath());
				if (!type.getQualifiedName().isEmpty()) {
					OutsideNames.this.types.put(type.getQualifiedName().toString(), type);
				}
				return super.visitClass(node, none);
			}
		}.scan(unit, null);
	}

	/** Notes the project's types in the declarations of fields, components and methods. */
	private void nameTypes(CompilationUnitTree unit) {
		new TreePathScanner<Void, Void>() {
			@Override
			public Void visitVariable(VariableTree node, Void none) {
				note(node.getName().toString(), node.getType());
				return super.visitVariable(node, none);
			}

			@Override
			public Void visitMethod(MethodTree node, Void none) {
				note(node.getName().toString(), node.getReturnType());
				return super.visitMethod(node, none);
			}

			@Override
			public Void visitLambdaExpression(LambdaExpressionTree node, Void none) {
				if (getCurrentPath().getParentPath().getLeaf() instanceof MethodInvocationTree call
						&& call.getMethodSelect() instanceof MemberSelectTree select) {
					TreePath chain = new TreePath(getCurrentPath().getParentPath(), select.getExpression());
					node.getParameters()
						.forEach((each) -> OutsideNames.this.chains.put(element(new TreePath(getCurrentPath(), each)),
								chain));
				}
				return super.visitLambdaExpression(node, none);
			}

			private void note(String name, Tree type) {
				Element element = element(getCurrentPath());
				if (type == null || element == null) {
					return;
				}
				Set<TypeElement> found = projectTypes(new TreePath(getCurrentPath(), type));
				if (!OutsideNames.this.chains.containsKey(element) && !isGeneric(element)) {
					OutsideNames.this.declaredTypes.put(element, found);
				}
				if (element.getKind().isField() || element.getKind() == ElementKind.METHOD) {
					OutsideNames.this.namedTypes.computeIfAbsent(name, (_) -> new LinkedHashSet<>()).addAll(found);
				}
			}
		}.scan(unit, null);
	}

	private static boolean isGeneric(Element element) {
		TypeMirror type = (element instanceof ExecutableElement method) ? method.getReturnType() : element.asType();
		return type instanceof TypeVariable
				|| element instanceof ExecutableElement method && !method.getTypeParameters().isEmpty();
	}

	private Set<TypeElement> projectTypes(TreePath declaration) {
		Set<TypeElement> found = new LinkedHashSet<>();
		new TreePathScanner<Void, Void>() {
			@Override
			public Void visitIdentifier(IdentifierTree node, Void none) {
				if (element(getCurrentPath()) instanceof TypeElement type
						&& OutsideNames.this.types.containsValue(type)) {
					found.add(type);
				}
				return null;
			}

			@Override
			public Void visitMemberSelect(MemberSelectTree node, Void none) {
				if (element(getCurrentPath()) instanceof TypeElement type
						&& OutsideNames.this.types.containsValue(type)) {
					found.add(type);
				}
				return null;
			}
		}.scan(declaration, null);
		return found;
	}

	/** Gathers the facts of one file and what is needed to follow documents. */
	private final class Scanner extends TreePathScanner<Void, Void> {

		@Override
		public Void visitVariable(VariableTree node, Void none) {
			VariableElement variable = (VariableElement) element(getCurrentPath());
			if (node.getInitializer() != null) {
				source(variable, inner(node.getInitializer()));
			}
			if (variable != null && variable.getKind() == ElementKind.ENUM_CONSTANT) {
				event(node, variable);
			}
			boolean option = node.getModifiers()
				.getAnnotations()
				.stream()
				.anyMatch((each) -> each.getAnnotationType().toString().matches("Option|Argument"));
			if (option) {
				projectTypes(inner(node.getType())).stream()
					.filter((type) -> type.getKind() == ElementKind.ENUM)
					.forEach((type) -> constants(type, place(getCurrentPath()), "option"));
			}
			return super.visitVariable(node, none);
		}

		private void event(VariableTree node, VariableElement constant) {
			TypeElement type = (TypeElement) constant.getEnclosingElement();
			boolean code = type.getInterfaces().stream().anyMatch((each) -> each.toString().endsWith(".EventCode"));
			if (code && node.getInitializer() instanceof NewClassTree made) {
				String number = made.getArguments().isEmpty() ? "" : made.getArguments().getFirst().toString();
				fact("event", constant.getSimpleName(), number, place(getCurrentPath()));
			}
		}

		@Override
		public Void visitAssignment(AssignmentTree node, Void none) {
			if (element(inner(node.getVariable())) instanceof VariableElement variable) {
				source(variable, inner(node.getExpression()));
			}
			return super.visitAssignment(node, none);
		}

		@Override
		public Void visitReturn(ReturnTree node, Void none) {
			ExecutableElement method = method(getCurrentPath());
			if (node.getExpression() != null && method != null) {
				OutsideNames.this.returns.computeIfAbsent(method, (_) -> new ArrayList<>())
					.add(inner(node.getExpression()));
			}
			return super.visitReturn(node, none);
		}

		@Override
		public Void visitMethod(MethodTree node, Void none) {
			ExecutableElement method = (ExecutableElement) element(getCurrentPath());
			if (method.getSimpleName().contentEquals("main") && method.getModifiers().contains(Modifier.STATIC)) {
				fact("main", method.getEnclosingElement(), place(getCurrentPath()));
			}
			return super.visitMethod(node, none);
		}

		@Override
		public Void visitBinary(BinaryTree node, Void none) {
			TypeMirror type = OutsideNames.this.trees.getTypeMirror(getCurrentPath());
			if (node.getKind() == Tree.Kind.PLUS && String.valueOf(type).equals("java.lang.String")) {
				text(inner(node.getLeftOperand()), "concatenation");
				text(inner(node.getRightOperand()), "concatenation");
			}
			return super.visitBinary(node, none);
		}

		@Override
		public Void visitCompoundAssignment(CompoundAssignmentTree node, Void none) {
			text(inner(node.getExpression()), "concatenation");
			return super.visitCompoundAssignment(node, none);
		}

		@Override
		public Void visitLiteral(LiteralTree node, Void none) {
			if (node.getValue() instanceof String value) {
				String annotation = "";
				String key = "";
				for (TreePath each = getCurrentPath(); each != null; each = each.getParentPath()) {
					if (each.getLeaf() instanceof AssignmentTree assignment && key.isEmpty()) {
						key = assignment.getVariable().toString();
					}
					if (each.getLeaf() instanceof AnnotationTree found) {
						annotation = "@" + found.getAnnotationType();
					}
				}
				string(value, annotation, annotation.isEmpty() ? "" : key, -1, -1, "", getCurrentPath());
			}
			return null;
		}

		@Override
		public Void visitMemberReference(MemberReferenceTree node, Void none) {
			if (element(getCurrentPath()) instanceof ExecutableElement method) {
				OutsideNames.this.references.computeIfAbsent(method, (_) -> new ArrayList<>()).add(getCurrentPath());
				shown(node, method.getSimpleName().toString());
			}
			return super.visitMemberReference(node, none);
		}

		private void shown(MemberReferenceTree node, String name) {
			String place = place(getCurrentPath());
			TypeMirror qualifier = type(inner(node.getQualifierExpression()));
			if (name.equals("toString") || name.matches("name|valueOf") && isProjectEnum(qualifier)) {
				escape(qualifier, place, name, new HashSet<>());
			}
			boolean library = String.valueOf(qualifier).startsWith("java.");
			if (name.matches("toString|valueOf|println|print|append") && library) {
				takenBy(getCurrentPath()).forEach((taken) -> types(taken)
					.forEach((type) -> escape(type, place, name, new HashSet<>())));
			}
		}

		@Override
		public Void visitNewClass(NewClassTree node, Void none) {
			if (element(getCurrentPath()) instanceof ExecutableElement constructor) {
				call(constructor, constructor.asType(), node.getArguments());
			}
			return super.visitNewClass(node, none);
		}

		@Override
		public Void visitMethodInvocation(MethodInvocationTree node, Void none) {
			List<TreePath> arguments = node.getArguments().stream().map((argument) -> inner(argument)).toList();
			String name = name(node);
			if (element(getCurrentPath()) instanceof ExecutableElement method) {
				TypeMirror used = type(inner(node.getMethodSelect()));
				call(method, (used instanceof ExecutableType) ? used : method.asType(), node.getArguments());
			}
			else {
				unknownCall(name, arguments);
			}
			if (node.getMethodSelect() instanceof MemberSelectTree select) {
				receiver(name, inner(node.getMethodSelect(), select.getExpression()), node);
			}
			else if (name.matches("name|toString|values|valueOf") && ownEnum() instanceof TypeElement own) {
				constants(own, place(getCurrentPath()), name);
			}
			return super.visitMethodInvocation(node, none);
		}

		/** The enum that a call without a receiver belongs to; null outside of enums. */
		private TypeElement ownEnum() {
			for (TreePath each = getCurrentPath(); each != null; each = each.getParentPath()) {
				if (element(each) instanceof TypeElement type && each.getLeaf() instanceof ClassTree) {
					return (type.getKind() == ElementKind.ENUM) ? type : null;
				}
			}
			return null;
		}

		/** A call of a library, or one whose arguments leave open which method is meant. */
		private void unknownCall(String name, List<TreePath> arguments) {
			OutsideNames.this.unknownCalls.computeIfAbsent(name + "/" + arguments.size(), (_) -> new ArrayList<>())
				.add(arguments);
			if (name.matches(ROOTS)) {
				OutsideNames.this.roots.addAll(arguments);
			}
			for (int i = 0; i < arguments.size(); i++) {
				for (TreePath leaf : leaves(arguments.get(i))) {
					if (constant(leaf) instanceof String value) {
						string(value, "?", name, i, -1, "", leaf);
					}
				}
			}
		}

		private void receiver(String name, TreePath receiver, MethodInvocationTree node) {
			String place = place(getCurrentPath());
			boolean bare = node.getArguments().isEmpty();
			for (TypeMirror type : types(receiver)) {
				if (bare && (name.equals("toString") || name.equals("name") && isProjectEnum(type))) {
					escape(type, place, name, new HashSet<>());
				}
				if (name.equals("valueOf") && isProjectEnum(type)) {
					constants((TypeElement) ((DeclaredType) type).asElement(), place, name);
				}
				if (name.matches("get(Simple|Canonical|Type)Name|getName") && type.toString().startsWith("java.lang.Class")) {
					classes(type, place, name);
				}
			}
			boolean fills = name.matches("put|putAll|add|addAll|set|merge|putIfAbsent");
			if (fills && element(receiver) instanceof VariableElement variable) {
				node.getArguments().forEach((argument) -> source(variable, inner(argument)));
			}
		}

		private void call(ExecutableElement method, TypeMirror used, List<? extends ExpressionTree> arguments) {
			List<TreePath> paths = arguments.stream().map((argument) -> inner(argument)).toList();
			OutsideNames.this.calls.computeIfAbsent(method, (_) -> new ArrayList<>()).add(paths);
			for (int i = 0; i < paths.size(); i++) {
				argument(method, (ExecutableType) used, paths.get(i), i);
			}
		}

		private void argument(ExecutableElement method, ExecutableType used, TreePath argument, int index) {
			int last = method.getParameters().size() - 1;
			if (last < 0) {
				return;
			}
			int place = Math.min(index, last);
			int vararg = (method.isVarArgs() && index >= last) ? index - last : -1;
			TypeMirror declared = method.getParameters().get(place).asType();
			TypeMirror taken = (place < used.getParameterTypes().size()) ? used.getParameterTypes().get(place) : declared;
			String name = method.getSimpleName().toString();
			boolean shows = !SILENT.contains(name)
					&& !HOLDERS.contains(method.getEnclosingElement().toString()) && (isObject(taken) || isEnumBound(declared));
			for (TreePath leaf : leaves(argument)) {
				if (constant(leaf) instanceof String value) {
					string(value, method.getEnclosingElement().toString(), name, index, vararg,
							method.getParameters().toString() + method.getParameters()
								.stream()
								.map((each) -> each.asType().toString())
								.toList(),
							leaf);
				}
				if (shows) {
					text(leaf, method.getEnclosingElement().getSimpleName() + "." + name);
				}
			}
		}

		private void text(TreePath expression, String use) {
			for (TreePath leaf : leaves(expression)) {
				types(leaf).forEach((type) -> escape(type, place(leaf), use, new HashSet<>()));
			}
		}

		private TreePath inner(Tree tree) {
			return new TreePath(getCurrentPath(), tree);
		}

		private TreePath inner(Tree outer, Tree tree) {
			return new TreePath(inner(outer), tree);
		}

	}

	// -- texts

	private boolean isObject(TypeMirror type) {
		TypeMirror one = (type instanceof ArrayType array) ? array.getComponentType() : type;
		return one.toString().equals("java.lang.Object");
	}

	private boolean isEnumBound(TypeMirror declared) {
		TypeMirror one = (declared instanceof ArrayType array) ? array.getComponentType() : declared;
		TypeMirror bound = (one instanceof TypeVariable variable) ? variable.getUpperBound() : one;
		return bound.toString().startsWith("java.lang.Enum") || bound.toString().equals("java.lang.Record");
	}

	/** Tells the names that a value of a type shows as a text. */
	private void escape(TypeMirror type, String place, String use, Set<String> seen) {
		switch (type) {
			case null -> {
			}
			case TypeMirror unknown when unknown.getKind() == TypeKind.ERROR -> {
			}
			case ArrayType array -> escape(array.getComponentType(), place, use, seen);
			case TypeVariable variable -> escape(variable.getUpperBound(), place, use, seen);
			case WildcardType wildcard -> escape(wildcard.getExtendsBound() != null ? wildcard.getExtendsBound()
					: wildcard.getSuperBound(), place, use, seen);
			case DeclaredType declared -> {
				if (seen.add(declared.toString())) {
					declared.getTypeArguments().forEach((argument) -> escape(argument, place, use, seen));
					escapeDeclared(declared, place, use, seen);
				}
			}
			default -> {
			}
		}
	}

	private void escapeDeclared(DeclaredType declared, String place, String use, Set<String> seen) {
		TypeElement type = (TypeElement) declared.asElement();
		if (type.getQualifiedName().contentEquals("java.lang.Class")) {
			classes(declared, place, use);
		}
		else if (extend(type, this.throwable)) {
			classes(declared, place, use);
		}
		else if (this.types.containsValue(type)) {
			if (type.getKind() == ElementKind.ENUM) {
				if (!hasText(type) || use.equals("name")) {
					constants(type, place, use);
				}
			}
			else if (type.getKind() == ElementKind.RECORD) {
				if (!hasText(type)) {
					components(type, "record-text", place, use);
					type.getRecordComponents().forEach((each) -> escape(each.asType(), place, use, seen));
				}
			}
			else {
				subtypes(type).forEach((each) -> escape(each.asType(), place, use, seen));
			}
		}
	}

	/** Whether a type has a text of its own; the compiler gives every record one. */
	private boolean hasText(TypeElement type) {
		return ElementFilter.methodsIn(type.getEnclosedElements())
			.stream()
			.filter((method) -> method.getSimpleName().contentEquals("toString") && method.getParameters().isEmpty())
			.anyMatch((method) -> this.trees.getTree(method) != null);
	}

	private boolean isProjectEnum(TypeMirror type) {
		return type instanceof DeclaredType declared && declared.asElement().getKind() == ElementKind.ENUM
				&& this.types.containsValue(declared.asElement());
	}

	private void constants(TypeElement type, String place, String use) {
		for (Element each : type.getEnclosedElements()) {
			if (each.getKind() == ElementKind.ENUM_CONSTANT) {
				fact("enum-value", nested(type) + "." + each.getSimpleName(), place, use);
			}
		}
	}

	private void components(TypeElement type, String kind, String place, String use) {
		if (kind.equals("record-text")) {
			fact("class-text", nested(type), place, use);
		}
		type.getRecordComponents()
			.forEach((each) -> fact(kind, nested(type) + "." + each.getSimpleName(), place, use));
	}

	private void classes(TypeMirror type, String place, String use) {
		if (!(type instanceof DeclaredType declared)) {
			return;
		}
		List<TypeMirror> named = new ArrayList<>(declared.getTypeArguments());
		if (named.isEmpty()) {
			named.add(declared);
		}
		for (TypeMirror each : named) {
			TypeMirror bound = (each instanceof WildcardType wildcard) ? wildcard.getExtendsBound() : each;
			TypeMirror upper = (bound instanceof TypeVariable variable) ? variable.getUpperBound() : bound;
			if (upper instanceof DeclaredType known && !isObject(known)) {
				subtypes((TypeElement) known.asElement()).forEach((one) -> fact("class-text", nested(one), place, use));
			}
		}
	}

	/** The project's types that a value of a type may have, itself among them. */
	private List<TypeElement> subtypes(TypeElement type) {
		return this.types.values()
			.stream()
			.filter((each) -> extend(each, type))
			.filter((each) -> each == type || each.getKind() != ElementKind.INTERFACE)
			.toList();
	}

	private boolean extend(TypeElement type, TypeElement other) {
		return type.equals(other) || this.typeUtils.directSupertypes(type.asType())
			.stream()
			.filter((each) -> each.getKind() == TypeKind.DECLARED)
			.anyMatch((each) -> extend((TypeElement) ((DeclaredType) each).asElement(), other));
	}

	// -- documents

	/** Follows the arguments of mappers back to the types of the values that reach them. */
	private void followDocuments() {
		Deque<TreePath> open = new ArrayDeque<>(this.roots);
		Set<Element> followed = new HashSet<>();
		Set<Tree> seen = new HashSet<>();
		Set<String> described = new HashSet<>();
		while (!open.isEmpty()) {
			TreePath path = open.poll();
			for (TreePath leaf : leaves(path)) {
				if (seen.add(leaf.getLeaf())) {
					types(leaf).forEach((type) -> describe(type, leaf, described));
					follow(leaf, open, followed);
				}
			}
		}
	}

	private void follow(TreePath leaf, Deque<TreePath> open, Set<Element> followed) {
		Element element = element(leaf);
		if (element instanceof VariableElement variable && followed.add(variable)) {
			open.addAll(this.sources.getOrDefault(variable, List.of()));
			followParameter(variable, open);
		}
		else if (element instanceof ExecutableElement method && element.getKind() == ElementKind.METHOD) {
			if (leaf.getLeaf() instanceof MethodInvocationTree call && isFactory(method)) {
				call.getArguments().forEach((argument) -> open.add(new TreePath(leaf, argument)));
			}
			else if (followed.add(method)) {
				open.addAll(this.returns.getOrDefault(method, List.of()));
			}
		}
		else {
			members(leaf).stream()
				.filter(followed::add)
				.forEach((method) -> open.addAll(this.returns.getOrDefault(method, List.of())));
		}
	}

	private static boolean isFactory(ExecutableElement method) {
		return method.getEnclosingElement().toString().startsWith("java.util.");
	}

	private void followParameter(VariableElement variable, Deque<TreePath> open) {
		Element owner = variable.getEnclosingElement();
		if (owner instanceof ExecutableElement method) {
			int index = method.getParameters().indexOf(variable);
			if (index >= 0) {
				List<List<TreePath>> found = new ArrayList<>(this.calls.getOrDefault(method, List.of()));
				found.addAll(this.unknownCalls.getOrDefault(
						method.getSimpleName() + "/" + method.getParameters().size(), List.of()));
				for (List<TreePath> arguments : found) {
					int end = method.isVarArgs() ? arguments.size() : Math.min(index + 1, arguments.size());
					open.addAll(arguments.subList(Math.min(index, end), end));
				}
				this.references.getOrDefault(method, List.of())
					.forEach((reference) -> open.addAll(takenBy(reference)));
			}
		}
		else if (owner.getKind() == ElementKind.RECORD && variable.getKind() == ElementKind.FIELD) {
			ElementFilter.constructorsIn(owner.getEnclosedElements())
				.forEach((constructor) -> constructor.getParameters()
					.stream()
					.filter((parameter) -> parameter.getSimpleName().equals(variable.getSimpleName()))
					.forEach((parameter) -> followParameter((VariableElement) parameter, open)));
		}
	}

	/** What a reference to a method is applied to: itself by its type, or the chain before it. */
	private static List<TreePath> takenBy(TreePath reference) {
		List<TreePath> taken = new ArrayList<>(List.of(reference));
		if (reference.getParentPath().getLeaf() instanceof MethodInvocationTree call
				&& call.getMethodSelect() instanceof MemberSelectTree select) {
			taken.add(new TreePath(reference.getParentPath(), select.getExpression()));
		}
		return taken;
	}

	/** Tells the names of the fields of a document that a value of a type becomes. */
	private void describe(TypeMirror type, TreePath use, Set<String> described) {
		switch (type) {
			case null -> {
			}
			case TypeMirror unknown when unknown.getKind() == TypeKind.ERROR -> {
			}
			case ArrayType array -> describe(array.getComponentType(), use, described);
			case TypeVariable variable -> describe(variable.getUpperBound(), use, described);
			case WildcardType wildcard -> describe(wildcard.getExtendsBound() != null ? wildcard.getExtendsBound()
					: wildcard.getSuperBound(), use, described);
			case DeclaredType declared -> {
				if (isObject(declared)) {
					fact("unresolved", use.getLeaf().toString().replaceAll("\\s+", " "), place(use));
				}
				else if (described.add(declared.toString())) {
					declared.getTypeArguments().forEach((argument) -> describe(argument, use, described));
					TypeElement element = (TypeElement) declared.asElement();
					if (this.types.containsValue(element)) {
						describeProject(element, use, described);
					}
				}
			}
			default -> {
			}
		}
	}

	private void describeProject(TypeElement type, TreePath use, Set<String> described) {
		switch (type.getKind()) {
			case ENUM -> constants(type, place(use), "json");
			case RECORD -> {
				components(type, "json-component", place(use), "json");
				getters(type, use, described);
				type.getRecordComponents().forEach((each) -> describe(each.asType(), use, described));
			}
			default -> {
				getters(type, use, described);
				fields(type, use, described);
				subtypes(type).stream().filter((each) -> each != type).forEach((each) -> describe(each.asType(), use, described));
			}
		}
	}

	private void getters(TypeElement type, TreePath use, Set<String> described) {
		for (ExecutableElement method : ElementFilter.methodsIn(type.getEnclosedElements())) {
			String name = method.getSimpleName().toString();
			boolean open = method.getModifiers().contains(Modifier.PUBLIC) || type.getKind() == ElementKind.INTERFACE;
			if (open && !method.getModifiers().contains(Modifier.STATIC) && method.getParameters().isEmpty()
					&& name.matches("(get|is)[A-Z].*")) {
				fact("json-component", nested(type) + "." + name, place(use), "json");
				describe(method.getReturnType(), use, described);
			}
		}
	}

	private void fields(TypeElement type, TreePath use, Set<String> described) {
		for (VariableElement field : ElementFilter.fieldsIn(type.getEnclosedElements())) {
			if (field.getModifiers().contains(Modifier.PUBLIC) && !field.getModifiers().contains(Modifier.STATIC)) {
				fact("json-component", nested(type) + "." + field.getSimpleName(), place(use), "json");
				describe(field.asType(), use, described);
			}
		}
	}

	// -- trees

	/** The expressions that an expression may give: itself, or the branches of a choice. */
	private List<TreePath> leaves(TreePath path) {
		List<TreePath> leaves = new ArrayList<>();
		collect(path, leaves::add);
		return leaves;
	}

	private void collect(TreePath path, java.util.function.Consumer<TreePath> found) {
		BiConsumer<TreePath, Tree> deeper = (outer, tree) -> collect(new TreePath(outer, tree), found);
		switch (path.getLeaf()) {
			case ParenthesizedTree tree -> deeper.accept(path, tree.getExpression());
			case TypeCastTree tree -> deeper.accept(path, tree.getExpression());
			case ConditionalExpressionTree tree -> {
				deeper.accept(path, tree.getTrueExpression());
				deeper.accept(path, tree.getFalseExpression());
			}
			case SwitchExpressionTree tree -> tree.getCases().forEach((each) -> {
				if (each.getBody() instanceof ExpressionStatementTree statement) {
					deeper.accept(path, statement.getExpression());
				}
				else if (each.getBody() instanceof ExpressionTree expression) {
					deeper.accept(path, expression);
				}
			});
			default -> found.accept(path);
		}
	}

	private void source(VariableElement variable, TreePath expression) {
		this.sources.computeIfAbsent(variable, (_) -> new ArrayList<>()).add(expression);
	}

	private Element element(TreePath path) {
		return this.trees.getElement(path);
	}

	private TypeMirror type(TreePath path) {
		TypeMirror type = this.trees.getTypeMirror(path);
		return (type == null || type.getKind() == TypeKind.ERROR) ? null : type;
	}

	/** The type of an expression or, when it is not known, those that stand in for it. */
	private List<TypeMirror> types(TreePath path) {
		TypeMirror type = type(path);
		if (type != null) {
			return List.of(type);
		}
		List<ExecutableElement> members = members(path);
		if (!members.isEmpty()) {
			return members.stream().flatMap((each) -> results(each).stream()).toList();
		}
		Set<TypeElement> found = new LinkedHashSet<>();
		new ChainScanner(found, new HashSet<>()).scan(path, null);
		if (!isKnown(element(path)) && !name(path.getLeaf()).matches(BUILDERS)) {
			found.addAll(this.namedTypes.getOrDefault(name(path.getLeaf()), Set.of()));
		}
		return found.stream().map((each) -> each.asType()).toList();
	}

	/** The types that a method gives, by its declaration when one of a library hides them. */
	private List<TypeMirror> results(ExecutableElement method) {
		TypeMirror type = method.getReturnType();
		if (type.getKind() != TypeKind.ERROR) {
			return List.of(type);
		}
		return this.declaredTypes.getOrDefault(method, Set.of()).stream().map((each) -> each.asType()).toList();
	}

	private static boolean isKnown(Element element) {
		return element instanceof VariableElement || element instanceof ExecutableElement;
	}

	/** The project's methods that a call may mean, by the types that stand in for its receiver. */
	private List<ExecutableElement> members(TreePath path) {
		if (isKnown(element(path)) || !(path.getLeaf() instanceof MethodInvocationTree call)
				|| !(call.getMethodSelect() instanceof MemberSelectTree select)) {
			return List.of();
		}
		TreePath receiver = new TreePath(new TreePath(path, select), select.getExpression());
		return types(receiver).stream()
			.filter(DeclaredType.class::isInstance)
			.map((type) -> (TypeElement) ((DeclaredType) type).asElement())
			.flatMap((type) -> ElementFilter.methodsIn(this.elements.getAllMembers(type)).stream())
			.filter((method) -> method.getSimpleName().contentEquals(select.getIdentifier())
					&& method.getParameters().size() == call.getArguments().size())
			.distinct()
			.toList();
	}

	/** Gathers the project's types that the parts of a chain of calls are declared with. */
	private final class ChainScanner extends TreePathScanner<Void, Void> {

		private final Set<TypeElement> found;

		private final Set<Element> passed;

		ChainScanner(Set<TypeElement> found, Set<Element> passed) {
			this.found = found;
			this.passed = passed;
		}

		@Override
		public Void visitMethodInvocation(MethodInvocationTree node, Void none) {
			if (name(node).matches(BUILDERS)) {
				return scan(node.getMethodSelect(), none);
			}
			return isDeclared() ? null : super.visitMethodInvocation(node, none);
		}

		@Override
		public Void visitMemberSelect(MemberSelectTree node, Void none) {
			return isDeclared() ? null : super.visitMemberSelect(node, none);
		}

		@Override
		public Void visitMemberReference(MemberReferenceTree node, Void none) {
			isDeclared();
			return null;
		}

		@Override
		public Void visitNewClass(NewClassTree node, Void none) {
			this.found.addAll(projectTypes(new TreePath(getCurrentPath(), node.getIdentifier())));
			return null;
		}

		@Override
		public Void visitIdentifier(IdentifierTree node, Void none) {
			Element element = element(getCurrentPath());
			TreePath chain = OutsideNames.this.chains.get(element);
			if (!isDeclared() && chain != null && this.passed.add(element)) {
				new ChainScanner(this.found, this.passed).scan(chain, none);
			}
			return null;
		}

		private boolean isDeclared() {
			Set<TypeElement> declared = OutsideNames.this.declaredTypes.get(element(getCurrentPath()));
			if (declared != null) {
				this.found.addAll(declared);
			}
			return declared != null;
		}

	}

	/** The name that an expression ends in. */
	private static String name(Tree tree) {
		return switch (tree) {
			case MethodInvocationTree call -> name(call.getMethodSelect());
			case MemberSelectTree select -> select.getIdentifier().toString();
			case IdentifierTree identifier -> identifier.getName().toString();
			default -> "";
		};
	}

	private Object constant(TreePath path) {
		if (path.getLeaf() instanceof LiteralTree literal) {
			return literal.getValue();
		}
		return (element(path) instanceof VariableElement variable) ? variable.getConstantValue() : null;
	}

	private ExecutableElement method(TreePath path) {
		for (TreePath each = path; each != null; each = each.getParentPath()) {
			if (each.getLeaf() instanceof LambdaExpressionTree) {
				return null;
			}
			if (each.getLeaf() instanceof MethodTree) {
				return (ExecutableElement) element(each);
			}
		}
		return null;
	}

	// -- output

	private void string(String value, String owner, String method, int index, int vararg, String parameters,
			TreePath path) {
		StringBuilder plain = new StringBuilder();
		value.chars()
			.forEach((c) -> plain.append((c < ' ' || c == '\\') ? String.format("\\u%04x", c) : String.valueOf((char) c)));
		fact("string", plain, owner, method, index, vararg, parameters, place(path));
	}

	private static String nested(TypeElement type) {
		String name = type.getSimpleName().toString();
		return (type.getEnclosingElement() instanceof TypeElement outer) ? nested(outer) + "$" + name : name;
	}

	private String place(TreePath path) {
		CompilationUnitTree unit = path.getCompilationUnit();
		long position = this.trees.getSourcePositions().getStartPosition(unit, path.getLeaf());
		long line = unit.getLineMap().getLineNumber(Math.max(0, position));
		return this.root.relativize(Path.of(unit.getSourceFile().getName()).toAbsolutePath()) + ":" + line;
	}

	private void fact(Object... parts) {
		this.facts.add(String.join("\t", java.util.Arrays.stream(parts).map(String::valueOf).toList()));
	}

}
